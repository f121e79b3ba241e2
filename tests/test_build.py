"""`build` in deploy/balancer.toml and `make`: a build repairs what an interrupted, concurrent or failed one has left.

Each test runs real builds in a copy of the files that a build reads, with tiny local packages and no network.
"""

import os
import shutil
import signal
import subprocess
import time
import tomllib
import zipfile
from pathlib import Path
from random import Random

import pytest

ROOT = Path(__file__).parents[1]
WIDE_FILES = 1000  # files of the package that is installed last, so that its installation can be interrupted
BACKEND = '''"""The copy as a package: what pip asks for `-e .`. Waits while a file `gate` is there."""
import os, time, zipfile

def build_editable(folder, config=None, metadata=None):
    while os.path.exists("gate"):
        time.sleep(0.01)
    with zipfile.ZipFile(f"{folder}/driftshed-0.1-py3-none-any.whl", "w") as wheel:
        wheel.writestr("driftshed.py", "")
        wheel.writestr("driftshed-0.1.dist-info/METADATA", "Metadata-Version: 2.1\\nName: driftshed\\nVersion: 0.1\\n")
        wheel.writestr("driftshed-0.1.dist-info/WHEEL", "Wheel-Version: 1.0\\nTag: py3-none-any\\n")
        wheel.writestr("driftshed-0.1.dist-info/RECORD", "")
    return "driftshed-0.1-py3-none-any.whl"
'''
PROJECT = '[build-system]\nrequires = []\nbuild-backend = "backend"\nbackend-path = ["."]\n'


def make_wheel(folder: Path, name: str, data: int = 0, after: tuple[str, ...] = ()) -> None:
    """Writes a package of one module and `data` files of data, which is installed after the packages `after`."""
    info = f"{name}-1.0.dist-info"
    needs = "".join(f"Requires-Dist: {dependency}\n" for dependency in after)
    with zipfile.ZipFile(folder / f"{name}-1.0-py3-none-any.whl", "w") as archive:
        archive.writestr(f"{name}/__init__.py", "")
        for number in range(data):
            archive.writestr(f"{name}/data/{number}", "")
        archive.writestr(f"{info}/METADATA", f"Metadata-Version: 2.1\nName: {name}\nVersion: 1.0\n{needs}")
        archive.writestr(f"{info}/WHEEL", "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n")
        archive.writestr(f"{info}/RECORD", "")


class Checkout:
    """A copy of the files that a build reads."""

    def __init__(self, folder: Path, wheels: Path) -> None:
        self.folder, self.venv = folder, folder / ".venv"
        folder.mkdir()
        shutil.copytree(ROOT / "deploy", folder / "deploy", ignore=shutil.ignore_patterns("sites"))
        shutil.copy(ROOT / "Makefile", folder)
        self.write("pyproject.toml", PROJECT)
        self.write("backend.py", BACKEND)
        self.write("requirements.txt", "httptools==1.0\nmsgspec==1.0\nwide==1.0\n")
        self.write("requirements-test.txt", "tester==1.0\n")
        build_command = tomllib.loads((folder / "deploy/balancer.toml").read_text())["build"]
        self.commands = {"build": ["/bin/sh", "-c", build_command], "make": ["make", ".venv/.ready"]}
        inherited = {name: os.environ[name] for name in ("PATH", "HOME", "LANG", "TMPDIR") if name in os.environ}
        self.environment = inherited | {
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(wheels),
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_DISABLE_PIP_VERSION_CHECK": "1",
        }

    def write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text)

    def start(self, target: str) -> subprocess.Popen:
        return subprocess.Popen(
            self.commands[target],
            cwd=self.folder,
            env=self.environment,
            start_new_session=True,
            text=True,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def run(self, target: str) -> tuple[int, str]:
        """Runs a build to its end; returns its exit code and output."""
        process = self.start(target)
        output, _ = process.communicate(timeout=120)
        return process.returncode, output

    def count_files(self, pattern: str) -> int:
        return sum(1 for _ in self.venv.glob(pattern))

    def wait_for(self, pattern: str, process: subprocess.Popen, min_files: int = 1) -> None:
        """Waits until `min_files` files match the pattern or the process has ended."""
        deadline = time.monotonic() + 60
        while self.count_files(pattern) < min_files and process.poll() is None:
            assert time.monotonic() < deadline
            time.sleep(0.001)

    def interrupt(self, target: str, pattern: str, min_files: int) -> bool:
        """Starts a build and kills its process group once `min_files` files match; False if it ended before."""
        process = self.start(target)
        self.wait_for(pattern, process, min_files)
        os.killpg(process.pid, signal.SIGKILL)
        process.communicate(timeout=60)
        return process.returncode == -signal.SIGKILL

    def interrupt_installing(self, target: str, min_files: int) -> None:
        """Interrupts a build while it installs the largest package, which comes last."""
        for _ in range(5):
            self.remove("msgspec", "wide")
            if self.interrupt(target, f"{SITE_PACKAGES}/wide/data/*", min_files):
                return
        pytest.fail("five builds ended before they could be interrupted")

    def remove(self, *packages: str) -> None:
        """Removes packages as if they had never been installed."""
        for package in packages:
            for each in self.venv.glob(f"{SITE_PACKAGES}/{package}*"):
                shutil.rmtree(each)

    def python(self, *arguments: str) -> str:
        return subprocess.run(
            [self.venv / "bin/python", *arguments], env=self.environment, check=True, capture_output=True, text=True
        ).stdout

    def break_venv_module(self) -> None:
        """Makes python3 behave as on a Debian without python3-venv: `-m venv` fails and leaves python without pip."""
        bin_folder, python3 = self.folder / "bin", shutil.which("python3")
        bin_folder.mkdir()
        (bin_folder / "python3").write_text(
            f'#!/bin/sh\n[ "$1" != -m ] && exec {python3} "$@"\n{python3} -m venv --without-pip .venv\nexit 1\n'
        )
        (bin_folder / "python3").chmod(0o755)
        self.environment["PATH"] = f"{bin_folder}:{self.environment['PATH']}"

    def check(self, target: str) -> None:
        """Checks that all packages of this kind of build are installed and that pip works."""
        assert self.count_files(f"{SITE_PACKAGES}/wide/data/*") == WIDE_FILES
        self.python("-m", "pip", "-q", "install", "--force-reinstall", "extra==1.0")
        modules = "extra, httptools, msgspec, wide" + (", driftshed, tester" if target == "make" else "")
        assert self.python("-c", f"import {modules}; print(extra.__file__)").startswith(str(self.venv))

    def modification_times(self) -> dict[Path, int]:
        """Modification times of the files of .venv, in nanoseconds."""
        return {each: each.lstat().st_mtime_ns for each in self.venv.rglob("*") if "__pycache__" not in each.parts}


SITE_PACKAGES = "lib/python*/site-packages"
random = Random(20)


@pytest.fixture(scope="module")
def wheels(tmp_path_factory):
    folder = tmp_path_factory.mktemp("wheels")
    for name in ("httptools", "msgspec", "tester", "extra"):
        make_wheel(folder, name)
    make_wheel(folder, "wide", WIDE_FILES, ("httptools", "msgspec"))
    return folder


@pytest.fixture(scope="module")
def concurrent_builds(tmp_path_factory, wheels):
    """A checkout after four concurrent builds, and the exit code and output of each. Two start together, two once
    python is installed and pip is not."""
    checkout = Checkout(tmp_path_factory.mktemp("raced") / "checkout", wheels)
    builds = [checkout.start(target) for target in ("build", "make")]
    checkout.wait_for("bin/python", builds[0])
    builds += [checkout.start(target) for target in ("build", "make")]
    outputs = [process.communicate(timeout=120)[0] for process in builds]
    return checkout, [(process.returncode, text) for process, text in zip(builds, outputs, strict=True)]


@pytest.fixture
def checkout(tmp_path, wheels):
    return Checkout(tmp_path / "checkout", wheels)


@pytest.fixture
def built(checkout, concurrent_builds):
    """A copy of a built checkout, of hard links. For `make`, its requirements are newer than the build."""
    shutil.copytree(concurrent_builds[0].venv, checkout.venv, symlinks=True, copy_function=os.link)
    return checkout


def test_builds_at_once_in_one_checkout_all_end_well(concurrent_builds):
    checkout, results = concurrent_builds
    assert [code for code, _ in results] == [0] * 4, results
    checkout.check("make")


@pytest.mark.parametrize(
    "first, min_files, second", [("build", 0, "make"), ("make", random.randrange(1, 300), "build")]
)
def test_a_build_cut_off_before_pip_is_whole_is_mended_by_the_next(checkout, first, min_files, second):
    """At 0 files python is installed and no file of pip."""
    assert checkout.interrupt(first, f"{SITE_PACKAGES}/pip/**/*.py" if min_files else "bin/python", max(1, min_files))
    code, output = checkout.run(second)
    assert code == 0, output
    checkout.check(second)


def test_a_build_cut_off_while_packages_are_installed_is_mended_by_the_next(built):
    """Also if the packages that `run` needs were installed already, and after a complete `make`."""
    built.write("gate", "")
    built.interrupt_installing("make", random.randrange(1, WIDE_FILES // 2))
    (built.folder / "gate").unlink()
    code, output = built.run("build")
    assert code == 0, output
    built.check("build")
    assert built.run("make")[0] == 0
    built.interrupt_installing("build", random.randrange(1, WIDE_FILES // 2))
    up_to_date = subprocess.run(["make", "-q", ".venv/.ready"], cwd=built.folder)
    assert up_to_date.returncode == 1, "make considers the build up to date"


@pytest.mark.parametrize(
    "target, damage",
    [("build", "all"), ("make", "all"), ("build", "end of a file"), ("make", "one file"), ("build", "record")],
)
def test_a_venv_without_a_whole_pip_is_made_anew_whoever_left_it(built, target, damage):
    """A venv left by builds that used no lock has no marker file. That it is recreated shows in a failing `-m venv`."""
    built.remove("msgspec")
    [pip], [record] = built.venv.glob(f"{SITE_PACKAGES}/pip"), built.venv.glob(f"{SITE_PACKAGES}/pip-*/RECORD")
    module = random.choice([each for each in sorted(pip.rglob("*.py")) if each.stat().st_size])
    if damage == "all":
        built.remove("pip")
    elif damage == "one file":
        module.unlink()
    elif damage == "end of a file":
        content = module.read_bytes()
        module.unlink()
        module.write_bytes(content[:-1])
    else:
        record.unlink()
    built.break_venv_module()
    code, output = built.run(target)
    assert code != 0 and "deploy/venv.sh: 'python3 -m venv' failed" in output
    assert not built.count_files(f"{SITE_PACKAGES}/*"), "the venv was not cleared"


def test_a_build_waits_for_one_that_works_on_the_venv(built):
    """Also if all packages that it needs are installed meanwhile."""
    built.write("gate", "")
    first = built.start("make")
    try:
        built.wait_for(".unfinished", first)
        second = built.start("build")
        with pytest.raises(subprocess.TimeoutExpired):
            second.wait(1.5)
    finally:
        (built.folder / "gate").unlink()
    output = first.communicate(timeout=120)[0], second.communicate(timeout=120)[0]
    assert (first.returncode, second.returncode) == (0, 0), output


def test_with_nothing_to_do_nothing_is_touched(built):
    before = built.modification_times()
    assert built.run("build") == (0, "")
    assert built.modification_times() == before
    assert built.run("make")[0] == 0
    before = built.modification_times()
    assert built.run("make")[0] == 0
    assert built.run("build") == (0, "")
    assert built.modification_times() == before


@pytest.mark.parametrize("target", ["build", "make"])
def test_what_pip_cannot_install_is_said_and_the_rest_is_kept(built, target):
    created_at = (built.venv / "pyvenv.cfg").stat().st_mtime_ns
    built.remove("msgspec")
    requirements = (built.folder / "requirements.txt").read_text()
    built.write("requirements.txt", "msgspec==9.9\n")
    code, output = built.run(target)
    assert code != 0 and "deploy/venv.sh: pip could not install -r requirements.txt" in output
    assert "Traceback" not in output
    built.write("requirements.txt", requirements)
    assert built.run(target)[0] == 0
    built.python("-c", "import msgspec")
    assert (built.venv / "pyvenv.cfg").stat().st_mtime_ns == created_at


def test_a_missing_python_is_said(checkout, tmp_path):
    (tmp_path / "bin").mkdir()
    for name in ("sh", "dirname"):
        (tmp_path / "bin" / name).symlink_to(shutil.which(name))
    checkout.environment["PATH"] = str(tmp_path / "bin")
    message = "deploy/venv.sh: 'python3' is not there: install Python 3.11 or newer\n"
    assert checkout.run("build") == (1, message)


def test_a_venv_that_cannot_be_made_is_said_and_tried_again(checkout):
    checkout.break_venv_module()
    for _ in range(2):
        code, output = checkout.run("build")
        assert code == 1 and "deploy/venv.sh: 'python3 -m venv' failed" in output
        assert checkout.count_files("bin/python") == 1
