"""Runs the benchmarks: ``python -m benchmarks [name ...]``."""

import sys

from benchmarks import failover, measures, path, rates, slopes

BENCHMARKS = {
    "path": path.run,
    "failover": failover.run,
    "slopes": slopes.run,
    "rates": rates.run,
    "measures": measures.run,
}


def main() -> int:
    """Run those named, or all."""
    names = sys.argv[1:] or list(BENCHMARKS)
    for name in names:
        if name not in BENCHMARKS:
            print(f"no benchmark {name}; there are {', '.join(BENCHMARKS)}")
            return 2
        BENCHMARKS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
