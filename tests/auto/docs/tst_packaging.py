"""Installs into a folder and tries what was installed: programs, units and example settings."""

import re
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[3]
BUILD = Path(sys.argv.pop(1)) if len(sys.argv) > 1 else SOURCE / "build"
SERVER_PROGRAMS = ("router", "agent")
START_FAILED = 1


def run(*command, **options):
    return subprocess.run([str(word) for word in command], capture_output=True, text=True, timeout=60, check=False, **options)


class PackagingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.prefix = Path(cls.folder.name)
        cls.installed = run("cmake", "--install", BUILD, "--prefix", cls.prefix)

    @classmethod
    def tearDownClass(cls):
        cls.folder.cleanup()

    def test_installs_programs_that_tell_their_version(self):
        self.assertEqual(self.installed.returncode, 0, self.installed.stderr)
        programs = sorted(path.name for path in (self.prefix / "bin").iterdir())
        self.assertIn("verbena-router", programs)
        self.assertIn("verbena-agent", programs)
        for program in programs:
            told = run(self.prefix / "bin" / program, "--version")
            self.assertEqual(told.returncode, 0, program)
            self.assertIn("version", told.stdout, program)

    def test_a_server_without_its_module_says_that_it_cannot_start(self):
        for role in SERVER_PROGRAMS:
            alone = self.prefix / "alone/bin" / f"verbena-{role}"
            alone.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(self.prefix / "bin" / alone.name, alone)
            started = run(alone, "--version")
            self.assertEqual(started.returncode, START_FAILED, started.stderr)
            self.assertRegex(started.stderr, rf"ERROR {alone.name} 1004 start_failed .*step=program.load peer=\S*{alone.name}.so")

    def test_a_server_takes_no_module_from_a_folder_that_its_caller_names(self):
        with tempfile.TemporaryDirectory() as folder:
            named = Path(folder) / "lib/verbenaladder"
            named.mkdir(parents=True)
            for role in SERVER_PROGRAMS:
                (named / f"verbena-{role}.so").write_text("no module")
                (named.parent / f"verbena-{role}").symlink_to(self.prefix / "bin" / f"verbena-{role}")
                started = run(named.parent / f"verbena-{role}", "--version", cwd=named, env={"LD_LIBRARY_PATH": str(named)})
                self.assertEqual(started.returncode, 0, started.stderr)

    def test_units_run_installed_programs_with_options_that_they_take(self):
        units = list((self.prefix / "lib/systemd/system").glob("*.service"))
        self.assertEqual(len(units), len(SERVER_PROGRAMS))
        for unit in units:
            for program, arguments in re.findall(r"^ExecStart(?:Pre)?=/usr/bin/([\w-]+)(.*)$", unit.read_text(), re.M):
                help_text = run(self.prefix / "bin" / program, "--help").stdout
                for flag in re.findall(r"--[\w-]+", arguments):
                    self.assertIn(flag, help_text, unit.name)

    def test_example_settings_are_valid(self):
        files = list((self.prefix / "share/doc/verbenaladder/examples").glob("*/*.yaml"))
        self.assertGreaterEqual(len(files), 6)
        for path in files:
            role = path.stem.split("-")[0]
            self.assertIn(role, SERVER_PROGRAMS)
            checked = run(self.prefix / "bin" / f"verbena-{role}", "--settings", path, "--check")
            self.assertEqual(checked.returncode, 0, f"{path}: {checked.stderr}")

    def test_example_trees_are_whole(self):
        for folder in (self.prefix / "share/doc/verbenaladder/examples").iterdir():
            files = sorted((folder / "tree").glob("*.yaml"))
            checked = run(self.prefix / "bin/verbenactl", "settings", "check", *files)
            self.assertEqual(checked.returncode, 0, f"{folder}: {checked.stderr}")

    def test_a_damaged_example_is_refused_with_its_place(self):
        damaged = self.prefix / "router.yaml"
        damaged.write_text((SOURCE / "examples/kessick/router.yaml").read_text() + "no_such_key: 1\n")
        checked = run(self.prefix / "bin/verbena-router", "--settings", damaged, "--check")
        self.assertEqual(checked.returncode, 2)
        self.assertIn("no_such_key: This key is not known.", checked.stderr)


if __name__ == "__main__":
    unittest.main()
