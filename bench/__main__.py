"""`python -m bench` runs every measurement but the slopes of capacity."""

from bench import cell, gangs, requests, sizes, takeover, tiers, workspaces

if __name__ == "__main__":
    requests.main()
    tiers.main()
    cell.main()
    gangs.main()
    takeover.main()
    workspaces.main()
    sizes.main()
