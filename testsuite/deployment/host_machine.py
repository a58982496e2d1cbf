"""A machine of a deployment. Its settings tell at each start whether the system starts for the first time."""

import json

import rig


class HostMachine(rig.Machine):
    """Does not start its host when it is made."""

    def __init__(self, *arguments, **more):
        self.is_made = False
        self.has_started = False
        super().__init__(*arguments, **more)
        self.is_made = True

    def start(self):
        if not self.is_made:
            return
        self.settings["bootstrap"] = not self.has_started
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.has_started = True
        super().start()
