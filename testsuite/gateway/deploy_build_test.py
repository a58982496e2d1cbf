import os
import subprocess
import tempfile
import tomllib
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
OBJECT = "src/libheatherlever/CMakeFiles/heatherselect.dir/ipv4.cc.o"
TIMEOUT_S = 100


class DeployBuildTest(unittest.TestCase):
    # The build of the deploy file stopped at any warning, which other versions of the compiler may add.
    def test_warnings_of_another_compiler_do_not_stop_the_build(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            configure = tomllib.load(file)["build"].split(" && ")[0].split()
        with tempfile.TemporaryDirectory() as folder:
            configure[configure.index("-B") + 1] = folder
            # Stands for a compiler that warns of more.
            configure.append("-DCMAKE_CXX_FLAGS=-Waggregate-return")
            subprocess.run(configure, cwd=ROOT, check=True, capture_output=True, timeout=TIMEOUT_S)
            build = subprocess.run(["cmake", "--build", folder, "--target", OBJECT], capture_output=True, text=True,
                                   timeout=TIMEOUT_S)
            self.assertIn("-Waggregate-return", build.stdout)
            self.assertEqual(build.returncode, 0, build.stdout)


if __name__ == "__main__":
    unittest.main()
