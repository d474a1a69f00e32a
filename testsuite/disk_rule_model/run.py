"""Model-checks the rule for a control host whose disk was replaced: the model has no errors
with the rule, and a counter-example without it."""

import os
import re
import shutil
import subprocess
import sys
import tempfile

MODEL = os.path.join(os.path.dirname(os.path.abspath(__file__)), "disk_rule.pml")


def count_errors(defines):
    folder = tempfile.mkdtemp(prefix="model-")
    try:
        subprocess.run(["spin", *defines, "-a", MODEL], cwd=folder, check=True,
                       capture_output=True)
        subprocess.run(["gcc", "-w", "-O1", "-o", "pan", "pan.c"], cwd=folder, check=True)
        result = subprocess.run(["./pan", "-m100000"], cwd=folder, capture_output=True, text=True,
                                check=False)
        print(re.search(r"State-vector.*", result.stdout).group(0))
        return int(re.search(r"errors: (\d+)", result.stdout).group(1))
    finally:
        shutil.rmtree(folder)


with_rule = count_errors(["-DRULE"])
without_rule = count_errors([])
print(f"errors with the rule: {with_rule}, without: {without_rule}")
if with_rule != 0 or without_rule == 0:
    print("FAILED")
    sys.exit(1)
print("passed")
