"""Tries scripts/run-tests with a ctest that knows a passing and a failing test."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[3]

CTEST = """#!/usr/bin/env bash
# Knows the tests "good", which passes, and "bad", which fails.
wanted="good bad"
counts_only=
while [ $# -gt 0 ]; do
    case $1 in
    -E) wanted=$(for name in $wanted; do [[ $name =~ $2 ]] || echo $name; done); shift ;;
    -R) wanted=$(for name in $wanted; do [[ $name =~ $2 ]] && echo $name; done); shift ;;
    -N) counts_only=yes ;;
    esac
    shift
done
[ -n "$counts_only" ] && echo "Total Tests: $(echo $wanted | wc -w)" && exit 0
[[ " $(echo $wanted) " != *" bad "* ]]
"""


class KnownRedTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = Path(self.folder.name)
        (self.root / "scripts").mkdir()
        (self.root / "bin").mkdir()
        shutil.copy(SOURCE / "scripts/run-tests", self.root / "scripts/run-tests")
        ctest = self.root / "bin/ctest"
        ctest.write_text(CTEST)
        ctest.chmod(0o755)

    def tearDown(self):
        self.folder.cleanup()

    def run_tests(self, known):
        if known is not None:
            (self.root / "KNOWN-RED.txt").write_text(known)
        environment = os.environ | {"PATH": f"{self.root / 'bin'}:{os.environ['PATH']}"}
        return subprocess.run([self.root / "scripts/run-tests", "build"], capture_output=True, text=True, env=environment, check=False)

    def test_fails_on_a_test_that_is_not_listed(self):
        self.assertNotEqual(self.run_tests(None).returncode, 0)
        self.assertNotEqual(self.run_tests("# nothing known\n").returncode, 0)

    def test_passes_over_a_listed_one_and_prints_it(self):
        ran = self.run_tests("bad: command and seed, what was seen, cause, issue\n")
        self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)
        self.assertIn("what was seen", ran.stdout)

    def test_fails_on_a_listed_one_that_passes(self):
        self.assertNotEqual(self.run_tests("bad: cause\ngood: cause\n").returncode, 0)

    def test_fails_on_a_listed_one_that_is_no_test(self):
        self.assertNotEqual(self.run_tests("bad: cause\nother: cause\n").returncode, 0)


if __name__ == "__main__":
    unittest.main()
