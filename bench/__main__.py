"""`python -m bench` runs every measurement but the slopes of capacity."""

from bench import cell, gangs, requests, takeover, tiers

if __name__ == "__main__":
    requests.main()
    tiers.main()
    cell.main()
    gangs.main()
    takeover.main()
