"""Builds the one-file program: ``./dev build [folder] [--runtime-hook FILE]``.

PyInstaller makes a folder; a small launcher carries it as an archive and turns
into it. See docs/decisions.md for what was weighed.
"""

import argparse
import hashlib
import struct
import subprocess
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
NAME = "rattanhollow"
ENTRY = struct.Struct("<IIQ")
EXECUTABLE, READABLE = 0o700, 0o600
LEFT_OUT = ("tkinter", "hypothesis", "pytest", "psycopg", "mypy", "setuptools")


def build(target: Path, runtime_hooks: list[Path]) -> Path:
    """Build the program into the folder ``target`` and return its path.

    Each start of the program runs the files in ``runtime_hooks`` first.
    """
    target.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        work = Path(folder)
        _run_pyinstaller(work, runtime_hooks)
        launcher = work / "launcher"
        source = str(HERE / "launcher.c")
        subprocess.run(
            ["gcc", "-O2", "-Wall", "-Wextra", "-o", str(launcher), source], check=True
        )
        archive = _archive(work / "dist" / NAME)
        program = target / NAME
        program.write_bytes(launcher.read_bytes() + archive + _tail(archive))
    program.chmod(0o755)
    return program


def _run_pyinstaller(work: Path, runtime_hooks: list[Path]) -> None:
    entry = work / "entry.py"
    entry.write_text("from rattanhollow.cli import main\n\nmain()\n")
    command = [sys.executable, "-m", "PyInstaller", "--onedir", "--name", NAME]
    command += ["--distpath", str(work / "dist"), "--workpath", str(work / "work")]
    command += ["--specpath", str(work), "--log-level", "ERROR", "--strip"]
    command += ["--collect-submodules", NAME]
    command += ["--collect-submodules", "rattanhollow_standins"]
    for module in LEFT_OUT:
        command += ["--exclude-module", module]
    for hook in runtime_hooks:
        command += ["--runtime-hook", str(hook)]
    subprocess.run([*command, str(entry)], check=True)


def _archive(folder: Path) -> bytes:
    parts = []
    for file in sorted(path for path in folder.rglob("*") if path.is_file()):
        path = str(file.relative_to(folder)).encode()
        content = file.read_bytes()
        mode = EXECUTABLE if file.stat().st_mode & 0o100 else READABLE
        parts.append(ENTRY.pack(mode, len(path), len(content)) + path + content)
    return b"".join(parts)


def _tail(archive: bytes) -> bytes:
    name = hashlib.sha256(archive).hexdigest().encode()
    return struct.pack("<Q", len(archive)) + name


def _main() -> None:
    parser = argparse.ArgumentParser(description="Build the one-file program.")
    parser.add_argument("folder", nargs="?", type=Path, default=Path("dist"))
    parser.add_argument("--runtime-hook", action="append", type=Path, default=[])
    arguments = parser.parse_args()
    built = build(arguments.folder, arguments.runtime_hook)
    print(f"{built} ({built.stat().st_size / 1e6:.0f} MB)")


if __name__ == "__main__":
    _main()
