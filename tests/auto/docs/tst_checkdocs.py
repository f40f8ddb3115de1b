"""Shows that scripts/check-docs finds what it is there to find."""

import importlib.machinery
import importlib.util
import sys
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parents[3] / "scripts/check-docs"
TABLE = "## 2000: router\n\n| number | name | severity | meaning | what to do |\n|---|---|---|---|---|\n"
EVENT = 'inline constexpr Event cut{2001,\n    Severity::Warning, "stream_cut", "A stream was cut."};\n'
ROW = "| 2001 | stream_cut | Warning | A stream was cut. | Nothing. |\n"


def load_script():
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("check_docs", str(SCRIPT))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("check_docs", loader))
    loader.exec_module(module)
    return module


class CheckDocsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.script = load_script()
        self.script.ROOT = self.root

    def write(self, name, text):
        path = self.root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path

    def event_problems(self, source, page):
        self.write("src/libs/router/routerevents.h", source)
        self.write("docs/EVENTS.md", page)
        problems = []
        self.script.check_events(problems)
        return problems

    def test_accepts_events_that_agree(self):
        self.assertEqual(self.event_problems(EVENT, TABLE + ROW), [])

    def test_finds_events_that_differ(self):
        self.assertIn("lacks 2001", self.event_problems(EVENT, TABLE)[0])
        self.assertIn("is in no source", self.event_problems("", TABLE + ROW)[0])
        self.assertIn("(Error) in the page", self.event_problems(EVENT, TABLE + ROW.replace("Warning", "Error"))[0])
        self.assertIn("but other", self.event_problems(EVENT, TABLE + ROW.replace("stream_cut", "other"))[0])
        self.assertIn("stands twice", self.event_problems(EVENT + EVENT, TABLE + ROW)[0])
        self.assertIn("under the range 3000", self.event_problems(EVENT, TABLE.replace("2000", "3000") + ROW)[0])
        self.assertIn("is not written as", self.event_problems(EVENT + "inline constexpr Event odd = make();\n", TABLE + ROW)[0])

    def page_problems(self, text):
        self.write("README.md", text)
        problems = []
        self.script.check_pages(self.root / "build/bin", problems)
        return problems

    def test_finds_dead_links_paths_and_flags(self):
        self.write("scripts/run", "accepts --fast").chmod(0o755)
        self.write("docs/A.md", "# One heading\n")
        self.assertEqual(self.page_problems("[a](docs/A.md#one-heading) `scripts/run --fast` `docs/A.md`"), [])
        self.assertIn("leads nowhere", self.page_problems("[a](docs/B.md)")[0])
        self.assertIn("names a heading", self.page_problems("[a](docs/A.md#two)")[0])
        self.assertIn("takes no --slow", self.page_problems("```\nscripts/run --slow\n```")[0])
        self.assertIn("there is no test RouterTest.walks", self.page_problems("`RouterTest.walks`")[0])
        self.assertIn("there is no scripts/walk", self.page_problems("`scripts/walk`")[0])


if __name__ == "__main__":
    unittest.main()
