"""docs/CONFIGURATION.md lists exactly the keys that the programs read."""

import os
import re
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Section of the page, and the sources that read its keys.
SECTIONS = {
    "Deployment": ["src/libheatherlever/deployment_loader.cc"],
    "Entry host": ["src/heather-entry/entry_settings.cc"],
    "Rules on the users' platform": ["src/libheathersteer/steering_rules.cc"],
    "Planner": ["src/heather-planner/planner_settings.cc"],
    "Load": ["src/heather-load/load_plan.cc"],
    "Experiment": ["src/heather-load/experiment.cc"],
    "Load pattern": ["src/heather-simulate/load_pattern.cc"],
}

READS = "Text|UniqueText|TextOr|FlagOr|Number|NumberOr|Time|TimeOr|Share|ShareOr|MegabitRate|Address|Texts|LabelsOr|Maps|MapOr"
METHOD = re.compile(r'\.(?:%s)\(\s*"(\w+)"' % READS)
# Helpers of the loaders that take the mapping and a key, such as OneOf(map, "rank", ...).
HELPER = re.compile(r'\b(?:Count|OneOf|Port|ReadSelector)\(\s*\w+,\s*"(\w+)"')


def keys_of_source(path):
    with open(os.path.join(ROOT, path)) as file:
        text = file.read()
    return set(METHOD.findall(text)) | set(HELPER.findall(text))


def keys_of_page():
    """Keys by section. `a[].b`, `c` stands for the keys a, b and c."""
    sections = {}
    with open(os.path.join(ROOT, "docs", "CONFIGURATION.md")) as file:
        for line in file:
            if line.startswith("## "):
                current = sections.setdefault(line[3:].split(" (")[0].strip(), set())
            elif line.startswith("| `"):
                for name in re.findall(r"`([^`]+)`", line.split("|")[1]):
                    current.update(name.replace("[]", "").split("."))
    return sections


class ConfigurationPageTestCase(unittest.TestCase):

    def test_page_and_loaders_have_the_same_keys(self):
        page = keys_of_page()
        self.assertEqual(set(SECTIONS), set(page))
        for section, sources in SECTIONS.items():
            read = set().union(*(keys_of_source(source) for source in sources))
            self.assertTrue(read, section)
            self.assertEqual(read, page[section], f"section {section}: read by the code, and on the page")

    def test_every_loader_belongs_to_a_section(self):
        loaders = set()
        for folder, _, files in os.walk(os.path.join(ROOT, "src")):
            for name in files:
                path = os.path.join(folder, name)
                if not name.endswith(".cc") or name.endswith("_test.cc") or name == "yaml_map.cc":
                    continue
                with open(path) as file:
                    if "YamlMap::Parse" in file.read():
                        loaders.add(os.path.relpath(path, ROOT))
        self.assertEqual({source for sources in SECTIONS.values() for source in sources}, loaders)


if __name__ == "__main__":
    unittest.main()
