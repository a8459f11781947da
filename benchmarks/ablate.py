"""Plays days with one mechanism switched off: ``./dev ablate NAMES SITE DAYS``.

Each ablation is a patch under ``benchmarks/ablations/`` whose first lines say what it
switches off. The sources as they stand and a patched copy of them play the same days
with the same seeds, on the users' bench.
"""

import argparse
import json
import random
import shutil
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PATCHES = ROOT / "benchmarks" / "ablations"
BASE = "as-it-stands"


class Play(NamedTuple):
    """One day to be played by one version of the sources."""

    version: str
    day: str
    seed: int


class Figures(NamedTuple):
    """What a day measured; ``broken`` names the rules that were broken."""

    worth: float
    refused: float
    broken: tuple[str, ...]


class Bench(NamedTuple):
    """The bench's program, the site, and where copies of the sources are made."""

    program: Path
    site: Path
    copies: Path
    more: list[str]


def ablation_names() -> list[str]:
    """Return the names of all ablations."""
    return sorted(path.stem for path in PATCHES.glob("*.patch"))


def copy_sources(version: str, folder: Path) -> None:
    """Copy the tracked sources, with an ablation's patch unless they stay as they are.

    Raises:
        subprocess.CalledProcessError: the patch does not apply.

    """
    shutil.rmtree(folder, ignore_errors=True)
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True, text=True
    )
    for name in listed.stdout.split("\0"):
        if name and not name.startswith("journal/"):
            target = folder / name
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, target)
    (folder / "journal").mkdir()
    if version != BASE:
        patch = PATCHES / f"{version}.patch"
        subprocess.run(["git", "apply", str(patch)], cwd=folder, check=True)


def play(bench: Bench, item: Play) -> Figures | None:
    """Play one day; None where the bench gave no figure."""
    folder = bench.copies / item.version
    report = bench.copies / f"{item.version}-{item.day}-{item.seed}.json"
    report.unlink(missing_ok=True)
    command = [bench.program, "run", bench.site, item.day, "--seed", str(item.seed)]
    command += ["--jobs", "1", "--report", report, "--why", f"ablation {item.version}"]
    subprocess.run([*command, *bench.more], cwd=folder, capture_output=True)
    if not report.is_file():
        return None
    told = json.loads(report.read_text())
    return Figures(told["G"], told["refused"], tuple(told["breaks"]))


def play_all(
    bench: Bench, versions: list[str], days: list[str], seeds: list[int], jobs: int
) -> dict[Play, Figures | None]:
    """Play all days with all versions, several at a time."""
    for version in versions:
        copy_sources(version, bench.copies / version)
        subprocess.run(
            [bench.program, "build"],
            cwd=bench.copies / version,
            check=True,
            stdout=subprocess.DEVNULL,
        )
    plays = [Play(v, day, seed) for v in versions for day in days for seed in seeds]
    with ThreadPoolExecutor(jobs) as pool:
        played = pool.map(lambda item: play(bench, item), plays)
        return dict(zip(plays, played, strict=True))


def keep_journals(bench: Bench, versions: list[str]) -> None:
    """Bring the bench's journal entries into the repository."""
    for version in versions:
        source = bench.copies / version / "journal"
        shutil.copytree(source, ROOT / "journal", dirs_exist_ok=True)


def describe(version: str, played: dict[Play, Figures | None]) -> str:
    """Return a row: the mean differences of an ablation, with standard errors."""
    pairs = [
        (played[item._replace(version=BASE)], figures)
        for item, figures in played.items()
        if item.version == version
    ]
    whole = [(base, off) for base, off in pairs if base and off]
    broken = sorted({rule for _, off in whole for rule in off.broken})
    worth = _mean_and_error([off.worth - base.worth for base, off in whole])
    refused = _mean_and_error([off.refused - base.refused for base, off in whole])
    rules = ",".join(broken) or "-"
    lost = len(pairs) - len(whole)
    return f"{version:32} {worth} {refused} {len(whole):5} {lost:4}  {rules}"


def _mean_and_error(values: list[float]) -> str:
    if not values:
        return f"{'-':>8} {'-':>7}"
    error = 0.0
    if len(values) > 1:
        error = statistics.stdev(values) / len(values) ** 0.5
    return f"{statistics.mean(values):+8.4f} {error:7.4f}"


def main() -> None:
    """Play the ablations named and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", help="names separated by commas, or 'all'")
    parser.add_argument("site", type=Path)
    parser.add_argument("days", help="names of days, separated by commas")
    parser.add_argument("--bench", type=Path, required=True, help="its program")
    parser.add_argument("--copies", type=Path, default=ROOT.parent / "ablations")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--more", default="", help="further options of the bench")
    given = parser.parse_args()
    names = ablation_names() if given.names == "all" else given.names.split(",")
    bench = Bench(
        given.bench.resolve(),
        given.site.resolve(),
        given.copies.resolve(),
        given.more.split(),
    )
    seeds = [random.randrange(10**8) for _ in range(given.seeds)]
    versions = [BASE, *names]
    played = play_all(bench, versions, given.days.split(","), seeds, given.jobs)
    keep_journals(bench, versions)
    whole = [figures for item, figures in played.items() if item.version == BASE]
    worths = [figures.worth for figures in whole if figures]
    mean = statistics.mean(worths) if worths else float("nan")
    print(f"{given.site.stem} {given.days}, seeds {seeds}: worth {mean:.4f} with all")
    print(f"{'switched off':32} {'worth':>8} {'error':>7} {'refused':>8} {'error':>7}")
    for name in names:
        print(describe(name, played), flush=True)


if __name__ == "__main__":
    main()
