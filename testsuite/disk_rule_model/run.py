"""Model-checks the rule for a changed disk: it holds, and without it there is a
counter-example."""

import os
import re
import shutil
import subprocess
import sys
import tempfile

MODEL = os.path.join(os.path.dirname(os.path.abspath(__file__)), "disk_rule.pml")


def errors(defines):
    folder = tempfile.mkdtemp(prefix="model-")
    try:
        subprocess.run(["spin", *defines, "-a", MODEL], cwd=folder, check=True,
                       capture_output=True)
        subprocess.run(["gcc", "-w", "-O1", "-o", "pan", "pan.c"], cwd=folder, check=True)
        done = subprocess.run(["./pan", "-m100000"], cwd=folder, capture_output=True, text=True,
                              check=False)
        print(re.search(r"State-vector.*", done.stdout).group(0))
        return int(re.search(r"errors: (\d+)", done.stdout).group(1))
    finally:
        shutil.rmtree(folder)


with_rule = errors(["-DRULE"])
without_rule = errors([])
print(f"errors with the rule: {with_rule}, without: {without_rule}")
if with_rule != 0 or without_rule == 0:
    print("FAILED")
    sys.exit(1)
print("passed")
