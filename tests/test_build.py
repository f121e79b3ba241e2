"""`build` in deploy/balancer.toml and `make`: the next build mends one that was cut off, raced or failed.

Each test builds for real, in a copy of the few files that a build reads, with tiny packages of its own and no network.
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
MANY = 1000  # files of the package that is installed last, so that it takes long enough to be cut off
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


def wheel(folder: Path, name: str, data: int = 0, after: tuple[str, ...] = ()) -> None:
    """A package of one module and so many files of data, installed after others."""
    info = f"{name}-1.0.dist-info"
    needs = "".join(f"Requires-Dist: {each}\n" for each in after)
    with zipfile.ZipFile(folder / f"{name}-1.0-py3-none-any.whl", "w") as made:
        made.writestr(f"{name}/__init__.py", "")
        for each in range(data):
            made.writestr(f"{name}/data/{each}", "")
        made.writestr(f"{info}/METADATA", f"Metadata-Version: 2.1\nName: {name}\nVersion: 1.0\n{needs}")
        made.writestr(f"{info}/WHEEL", "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n")
        made.writestr(f"{info}/RECORD", "")


class Checkout:
    """A copy of what a build reads."""

    def __init__(self, folder: Path, wheels: Path) -> None:
        self.folder, self.venv = folder, folder / ".venv"
        folder.mkdir()
        shutil.copytree(ROOT / "deploy", folder / "deploy", ignore=shutil.ignore_patterns("sites"))
        shutil.copy(ROOT / "Makefile", folder)
        self.write("pyproject.toml", PROJECT)
        self.write("backend.py", BACKEND)
        self.write("requirements.txt", "httptools==1.0\nmsgspec==1.0\nwide==1.0\n")
        self.write("requirements-test.txt", "tester==1.0\n")
        line = tomllib.loads((folder / "deploy/balancer.toml").read_text())["build"]
        self.commands = {"build": ["/bin/sh", "-c", line], "make": ["make", ".venv/.ready"]}
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG", "TMPDIR") if name in os.environ}
        self.environment = kept | {
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(wheels),
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_DISABLE_PIP_VERSION_CHECK": "1",
        }

    def write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text)

    def start(self, how: str) -> subprocess.Popen:
        return subprocess.Popen(
            self.commands[how],
            cwd=self.folder,
            env=self.environment,
            start_new_session=True,
            text=True,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def run(self, how: str) -> tuple[int, str]:
        """Exit code and words of a whole build."""
        process = self.start(how)
        words, _ = process.communicate(timeout=120)
        return process.returncode, words

    def found(self, pattern: str) -> int:
        return sum(1 for _ in self.venv.glob(pattern))

    def wait_for(self, pattern: str, process: subprocess.Popen, least: int = 1) -> None:
        """Until so many files of a pattern are there, or the process is over."""
        until = time.monotonic() + 60
        while self.found(pattern) < least and process.poll() is None:
            assert time.monotonic() < until
            time.sleep(0.001)

    def cut(self, how: str, pattern: str, least: int) -> bool:
        """Starts a build and kills all of it once so many files of a pattern are there. False: it was over before."""
        process = self.start(how)
        self.wait_for(pattern, process, least)
        os.killpg(process.pid, signal.SIGKILL)
        process.communicate(timeout=60)
        return process.returncode == -signal.SIGKILL

    def cut_installing(self, how: str, least: int) -> None:
        """Cuts off a build that installs the widest package last."""
        for _ in range(5):
            self.lose("msgspec", "wide")
            if self.cut(how, f"{SITE}/wide/data/*", least):
                return
        pytest.fail("five builds were over before they could be cut off")

    def lose(self, *packages: str) -> None:
        """Packages go away, as if never installed."""
        for package in packages:
            for each in self.venv.glob(f"{SITE}/{package}*"):
                shutil.rmtree(each)

    def python(self, *arguments: str) -> str:
        return subprocess.run(
            [self.venv / "bin/python", *arguments], env=self.environment, check=True, capture_output=True, text=True
        ).stdout

    def spoil_venv_module(self) -> None:
        """From now on python3 is as on a Debian without python3-venv: `-m venv` fails and leaves python without pip."""
        folder, real = self.folder / "bin", shutil.which("python3")
        folder.mkdir()
        (folder / "python3").write_text(
            f'#!/bin/sh\n[ "$1" != -m ] && exec {real} "$@"\n{real} -m venv --without-pip .venv\nexit 1\n'
        )
        (folder / "python3").chmod(0o755)
        self.environment["PATH"] = f"{folder}:{self.environment['PATH']}"

    def check(self, how: str) -> None:
        """All is there that this kind of build promises, and pip works."""
        assert self.found(f"{SITE}/wide/data/*") == MANY
        self.python("-m", "pip", "-q", "install", "--force-reinstall", "extra==1.0")
        modules = "extra, httptools, msgspec, wide" + (", driftshed, tester" if how == "make" else "")
        assert self.python("-c", f"import {modules}; print(extra.__file__)").startswith(str(self.venv))

    def standing(self) -> dict[Path, int]:
        """When each file of .venv was last changed."""
        return {each: each.lstat().st_mtime_ns for each in self.venv.rglob("*") if "__pycache__" not in each.parts}


SITE = "lib/python*/site-packages"
drawn = Random(20)


@pytest.fixture(scope="module")
def wheels(tmp_path_factory):
    folder = tmp_path_factory.mktemp("wheels")
    for name in ("httptools", "msgspec", "tester", "extra"):
        wheel(folder, name)
    wheel(folder, "wide", MANY, ("httptools", "msgspec"))
    return folder


@pytest.fixture(scope="module")
def raced(tmp_path_factory, wheels):
    """A checkout in which four builds ran at once, and what became of each: code and words. Two begin together, two
    when python is there and pip is not."""
    checkout = Checkout(tmp_path_factory.mktemp("raced") / "checkout", wheels)
    running = [checkout.start(how) for how in ("build", "make")]
    checkout.wait_for("bin/python", running[0])
    running += [checkout.start(how) for how in ("build", "make")]
    words = [process.communicate(timeout=120)[0] for process in running]
    return checkout, [(process.returncode, said) for process, said in zip(running, words, strict=True)]


@pytest.fixture
def checkout(tmp_path, wheels):
    return Checkout(tmp_path / "checkout", wheels)


@pytest.fixture
def whole(checkout, raced):
    """A copy that has been built; its requirements have changed since, if `make` is asked. Its files are links."""
    shutil.copytree(raced[0].venv, checkout.venv, symlinks=True, copy_function=os.link)
    return checkout


def test_builds_at_once_in_one_checkout_all_end_well(raced):
    checkout, ends = raced
    assert [code for code, _ in ends] == [0] * 4, ends
    checkout.check("make")


@pytest.mark.parametrize("first, least, then", [("build", 0, "make"), ("make", drawn.randrange(1, 300), "build")])
def test_a_build_cut_off_before_pip_is_whole_is_mended_by_the_next(checkout, first, least, then):
    """At 0 files python is there and nothing of pip."""
    assert checkout.cut(first, f"{SITE}/pip/**/*.py" if least else "bin/python", max(1, least))
    code, words = checkout.run(then)
    assert code == 0, words
    checkout.check(then)


def test_a_build_cut_off_while_packages_are_installed_is_mended_by_the_next(whole):
    """Also where what `run` needs was in already, and where `make` had been through before."""
    whole.write("gate", "")
    whole.cut_installing("make", drawn.randrange(1, MANY // 2))
    (whole.folder / "gate").unlink()
    code, words = whole.run("build")
    assert code == 0, words
    whole.check("build")
    assert whole.run("make")[0] == 0
    whole.cut_installing("build", drawn.randrange(1, MANY // 2))
    asked = subprocess.run(["make", "-q", ".venv/.ready"], cwd=whole.folder)
    assert asked.returncode == 1, "make would leave it as it is"


@pytest.mark.parametrize(
    "how, lost",
    [("build", "all"), ("make", "all"), ("build", "end of a file"), ("make", "one file"), ("build", "record")],
)
def test_a_venv_without_a_whole_pip_is_made_anew_whoever_left_it(whole, how, lost):
    """What builds left behind that knew no lock bears no mark. That it is made anew is told by a venv that can't be."""
    whole.lose("msgspec")
    [pip], [record] = whole.venv.glob(f"{SITE}/pip"), whole.venv.glob(f"{SITE}/pip-*/RECORD")
    one = drawn.choice([each for each in sorted(pip.rglob("*.py")) if each.stat().st_size])
    if lost == "all":
        whole.lose("pip")
    elif lost == "one file":
        one.unlink()
    elif lost == "end of a file":
        words = one.read_bytes()
        one.unlink()
        one.write_bytes(words[:-1])
    else:
        record.unlink()
    whole.spoil_venv_module()
    code, words = whole.run(how)
    assert code != 0 and "deploy/venv.sh: 'python3 -m venv' failed" in words
    assert not whole.found(f"{SITE}/*"), "it was not emptied"


def test_a_build_waits_for_one_that_works_on_the_venv(whole):
    """Also when all that it needs is there meanwhile."""
    whole.write("gate", "")
    first = whole.start("make")
    try:
        whole.wait_for(".unfinished", first)
        second = whole.start("build")
        with pytest.raises(subprocess.TimeoutExpired):
            second.wait(1.5)
    finally:
        (whole.folder / "gate").unlink()
    words = first.communicate(timeout=120)[0], second.communicate(timeout=120)[0]
    assert (first.returncode, second.returncode) == (0, 0), words


def test_with_nothing_to_do_nothing_is_touched(whole):
    before = whole.standing()
    assert whole.run("build") == (0, "")
    assert whole.standing() == before
    assert whole.run("make")[0] == 0
    before = whole.standing()
    assert whole.run("make")[0] == 0
    assert whole.run("build") == (0, "")
    assert whole.standing() == before


@pytest.mark.parametrize("how", ["build", "make"])
def test_what_pip_cannot_install_is_said_and_the_rest_is_kept(whole, how):
    made = (whole.venv / "pyvenv.cfg").stat().st_mtime_ns
    whole.lose("msgspec")
    needed = (whole.folder / "requirements.txt").read_text()
    whole.write("requirements.txt", "msgspec==9.9\n")
    code, words = whole.run(how)
    assert code != 0 and "deploy/venv.sh: pip could not install -r requirements.txt" in words
    assert "Traceback" not in words
    whole.write("requirements.txt", needed)
    assert whole.run(how)[0] == 0
    whole.python("-c", "import msgspec")
    assert (whole.venv / "pyvenv.cfg").stat().st_mtime_ns == made


def test_a_missing_python_is_said(checkout, tmp_path):
    (tmp_path / "bin").mkdir()
    for name in ("sh", "dirname"):
        (tmp_path / "bin" / name).symlink_to(shutil.which(name))
    checkout.environment["PATH"] = str(tmp_path / "bin")
    words = "deploy/venv.sh: 'python3' is not there: install Python 3.11 or newer\n"
    assert checkout.run("build") == (1, words)


def test_a_venv_that_cannot_be_made_is_said_and_tried_again(checkout):
    checkout.spoil_venv_module()
    for _ in range(2):
        code, words = checkout.run("build")
        assert code == 1 and "deploy/venv.sh: 'python3 -m venv' failed" in words
        assert checkout.found("bin/python") == 1
