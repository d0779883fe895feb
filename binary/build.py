"""Builds dist/passtally, a single file that runs as a single process.

The output folder of PyInstaller is appended to a small launcher. The launcher unpacks
it to a memory file system and then replaces itself with the program by exec.
"""

import hashlib
import io
import struct
import subprocess
import tarfile
from pathlib import Path

import PyInstaller.__main__

ROOT = Path(__file__).parent.parent
WORK = ROOT / "build"
DIST = ROOT / "dist"
MAGIC = b"PASSTALLY-BINARY"
BUILD_CHARACTERS = 16


def main() -> None:
    """Build the binary and print its size."""
    folder = _freeze()
    payload = _pack(folder)
    launcher = _compile()
    build = hashlib.sha256(launcher + payload).hexdigest()[:BUILD_CHARACTERS]
    trailer = struct.pack("=Q16s16s", len(launcher), build.encode(), MAGIC)
    DIST.mkdir(exist_ok=True)
    target = DIST / "passtally"
    target.write_bytes(launcher + payload + trailer)
    target.chmod(0o755)
    print(f"{target.relative_to(ROOT)}: {target.stat().st_size / 1e6:.1f} MB")


def _freeze() -> Path:
    """Freeze the program with PyInstaller and return its folder."""
    PyInstaller.__main__.run(
        [
            str(ROOT / "binary" / "entry.py"),
            "--name=passtally",
            "--onedir",
            "--noconfirm",
            "--log-level=WARN",
            f"--workpath={WORK}",
            f"--specpath={WORK}",
            f"--distpath={WORK / 'folder'}",
            f"--add-data={ROOT / 'passtally' / 'charts'}:passtally/charts",
            "--collect-submodules=passtally",
            "--collect-submodules=sismic",
            "--copy-metadata=eliot",
            "--copy-metadata=sismic",
            "--copy-metadata=aiomisc",
            "--hidden-import=aiomisc.service.sdwatchdog",
        ]
    )
    return WORK / "folder" / "passtally"


def _pack(folder: Path) -> bytes:
    """Return the files of the folder as a USTAR archive, which the launcher reads."""
    buffer = io.BytesIO()
    with tarfile.open(fileobj=buffer, mode="w", format=tarfile.USTAR_FORMAT) as archive:
        for path in sorted(folder.rglob("*")):
            if path.is_symlink() or path.is_file():
                archive.add(path, arcname=str(path.relative_to(folder)))
    return buffer.getvalue()


def _compile() -> bytes:
    """Compile the launcher, dynamically linked to the C library; return its bytes."""
    target = WORK / "launcher"
    source = ROOT / "binary" / "launcher.c"
    subprocess.run(
        ["cc", "-O2", "-Wall", "-Wextra", "-o", str(target), str(source)], check=True
    )
    return target.read_bytes()


if __name__ == "__main__":
    main()
