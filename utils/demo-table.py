"""Prints what utils/demo measured and fails if a promise was broken."""
import json
import sys


def main() -> int:
    with open(sys.argv[1], encoding="utf-8") as file:
        load = json.load(file)
    most_runs = int(sys.argv[2])
    ended = sum(load[k] for k in ("completed", "notRun", "incomplete", "unknown", "refusedByRule"))
    # A caller whose daemon died got no answer and retried at another daemon, so a request
    # without an answer after that is lost.
    lost = load["sent"] - ended
    doubled = max(0, most_runs - 1)
    rows = [
        ("sent", load["sent"]),
        ("completed within deadline", load["attained"]),
        ("completed late", load["completed"] - load["attained"]),
        ("refused, not run", load["notRun"] + load["refusedByRule"]),
        ("incomplete", load["incomplete"]),
        ("unknown, said so", load["unknown"]),
        ("lost", lost),
        ("doubled", doubled),
        ("mixed up", load["mixedUp"]),
    ]
    for name, value in rows:
        print(f"  {name:<28}{value:>8}")
    print(f"\n  {'cost by stage':<16}{'stage':<12}{'runs':>8}{'ms a run':>12}{'cost':>12}")
    for account, stages in sorted(load.get("stages", {}).items()):
        for stage, total in sorted(stages.items()):
            mean = total["ms"] / total["runs"]
            print(f"  {account:<16}{stage:<12}{total['runs']:>8}{mean:>12.1f}{total['cost']:>12.4f}")
    broken = lost + doubled + load["mixedUp"]
    served = load["attained"] > 0
    if broken or not served:
        print("\n  a promise was broken" if broken else "\n  nothing was served")
        return 1
    print("\n  nothing was lost, doubled or mixed up")
    return 0


if __name__ == "__main__":
    sys.exit(main())
