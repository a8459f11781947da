"""Builds the one-file program: ``./dev build [folder]``.

PyInstaller makes a folder; a small launcher carries it as an archive and turns
into it. See docs/decisions.md for what was weighed.
"""

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


def build(target: Path) -> Path:
    """Build the program into the folder ``target`` and return its path."""
    target.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        work = Path(folder)
        _run_pyinstaller(work)
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


def _run_pyinstaller(work: Path) -> None:
    entry = work / "entry.py"
    entry.write_text("from rattanhollow.cli import main\n\nmain()\n")
    command = [sys.executable, "-m", "PyInstaller", "--onedir", "--name", NAME]
    command += ["--distpath", str(work / "dist"), "--workpath", str(work / "work")]
    command += ["--specpath", str(work), "--log-level", "ERROR", "--strip"]
    command += ["--collect-submodules", NAME]
    command += ["--collect-submodules", "rattanhollow_standins"]
    for module in LEFT_OUT:
        command += ["--exclude-module", module]
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


if __name__ == "__main__":
    built = build(Path(sys.argv[1]) if len(sys.argv) > 1 else Path("dist"))
    print(f"{built} ({built.stat().st_size / 1e6:.0f} MB)")
