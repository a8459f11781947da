"""Each ablation applies to the sources as they stand, and says what it switches off."""

import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PATCHES = sorted((ROOT / "benchmarks" / "ablations").glob("*.patch"))


@pytest.mark.parametrize("patch", PATCHES, ids=lambda path: path.stem)
def test_an_ablation_applies(patch: Path) -> None:
    """A patch that no longer applies would leave its mechanism unmeasured."""
    check = ["git", "apply", "--check", str(patch)]
    done = subprocess.run(check, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("patch", PATCHES, ids=lambda path: path.stem)
def test_an_ablation_says_what_it_switches_off(patch: Path) -> None:
    """Its first line is one sentence, and it changes the product only."""
    lines = patch.read_text().splitlines()
    assert lines[0] and not lines[0].startswith(("diff", "---")), lines[0]
    changed = [line for line in lines if line.startswith("+++ ")]
    assert changed
    assert all(line.startswith("+++ b/src/rattanhollow/") for line in changed)


def test_there_are_ablations() -> None:
    """An empty folder would pass the tests above."""
    assert PATCHES
