"""Runs all tests in a few processes side by side and sums their results.

Most tests of `tests/` wait for processes that they start, so other tests can run
meanwhile. The tests of the library start none and are one shard; every other test
module is a shard of its own. The closing line and the exit code are those of one run
of all tests: a shard that prints no closing line fails the run.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys

import msgspec

LIBRARY = "thornport"
# Modules that take longest are begun first.
LONGEST = ("tests.soak_test", LIBRARY, "tests.dispatch_test")
# Shards that run at once. Some tests start a few dozen processes.
WORKERS = 3
FAILED_PREFIXES = ("failed: ", "logs of ")
CLOSING = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


class Result(msgspec.Struct, frozen=True):
    """What a shard printed, and what came of its tests.

    Attributes:
      is_good: Whether it closed its run, and no test failed that is not known to fail.
      passed, failed: Ints.
      failed_lines: Strs that name the failed tests and where their logs are.
    """

    name: str
    is_good: bool
    output: str
    passed: int = 0
    failed: int = 0
    failed_lines: tuple[str, ...] = ()


def list_shards(root):
    """List the shards that hold every test module once, the longest first.

    Args:
      root: A pathlib.Path of the repository.
    Returns:
      A list of str, names of packages and modules.
    """
    names = {LIBRARY}
    for path in root.glob("[!.]*/**/*_test.py"):
        parts = path.relative_to(root).with_suffix("").parts
        if parts[0] != LIBRARY:
            names.add(".".join(parts))
    last = len(LONGEST)
    order = {name: number for number, name in enumerate(LONGEST)}
    return sorted(names, key=lambda name: (order.get(name, last), name))


def read_result(name, exit_code, output):
    """Read the result of a shard from what it printed.

    Args:
      name: A str.
      exit_code: An int.
      output: A str.
    Returns:
      A Result.
    """
    closings = CLOSING.findall(output)
    if not closings:
        return Result(name, False, output)
    passed, failed = (int(count) for count in closings[-1])
    lines = [line for line in output.splitlines() if line.startswith(FAILED_PREFIXES)]
    return Result(name, exit_code == 0, output, passed, failed, tuple(lines))


def run_shard(name):
    """Run the tests of a shard in a process of its own.

    Args:
      name: A str.
    Returns:
      A Result.
    """
    done = subprocess.run(
        [sys.executable, "-m", "nose2", name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return read_result(name, done.returncode, done.stdout)


def main():
    """Run all shards; the exit code is 1 if one of them failed."""
    names = list_shards(pathlib.Path.cwd())
    results = []
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for done in concurrent.futures.as_completed(
            [pool.submit(run_shard, name) for name in names]
        ):
            result = done.result()
            results.append(result)
            print(f"== {result.name}", result.output, sep="\n", flush=True)
    for result in results:
        for line in result.failed_lines:
            print(line)
        if not result.is_good:
            print(f"shard failed: {result.name}")
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"{passed} passed, {failed} failed")
    sys.exit(0 if all(result.is_good for result in results) else 1)


if __name__ == "__main__":
    main()
