"""Settings of the deployments that the cases use, as a front end is told them. Times are in nanoseconds."""

MS = 1_000_000


def grade(name, effect, *, aim, give_up, worth, late, group="all", window=5000):
    return {"Aim": aim * MS, "DedupWindow": window * MS, "Effect": effect, "GiveUp": give_up * MS, "Group": group,
            "LateWorth": late, "Name": name, "Stream": False, "Worth": worth}


def ba_na_archive():
    """`deploy/sites/ba-na-archive/ba-na-archive.toml`"""
    return {
        "Blend": {"Whole": 0.8, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.1},
        "Clients": {"MarksRetry": False},
        "Family": "warm",
        "FamilyInfo": {
            "CountsAlike": False, "IdleMemoryCost": 0.02, "KindMemoryMb": [23680.0, 24576.0], "LoadSpan": 4000 * MS,
            "LoadsAnyway": 2.0, "LoadsPerRequest": 0.2, "MarksCold": True, "OrderTimeout": 10_000 * MS, "Orders": True,
            "StaysLoaded": 8800 * MS, "WhenAbsent": "load"},
        "Grades": [
            grade("scan-page", "idempotency_key", aim=2500, give_up=9000, worth=1.0, late=0.5, window=8000),
            grade("stamp", "non_idempotent", aim=2000, give_up=7000, worth=2.0, late=0.4)],
        "Granularity": 2 * MS,
        "Layer": 0,
        "Limits": {
            "ConnectTimeout": 600 * MS, "CpuUsPerRequest": 0.0, "CpuUsPerS": 500_000, "IdleClose": 60_000 * MS,
            "MaxRetryAfter": 500 * MS, "MayCancel": False, "MostTries": 2, "OpenCap": 20_000, "Peers": False,
            "Probes": False, "RetryAfter": False, "SecondCopies": False, "StreamsPerConn": 4},
        "Localities": ["hill"],
        "Me": 0,
        "Models": ["m1", "m0"],
        "OverShareWorth": 0.1,
        "PeersTotal": 2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.04, "Handshake": 0.0, "LateFail": 0.02, "Moves": 0.0,
                   "Origin": 0.02, "Peer": 0.0, "Probe": 0.05, "RegistryMode": 0.0, "Waste": 0.03},
        "RegistryMode": "pushed",
        "Report": {"Columns": [], "How": "none"},
        "Rules": {"AnswerSlack": 8 * MS, "AskWithin": 10_000 * MS, "ColdFrom": 0.16, "DrainGrace": 2500 * MS,
                  "FallMultiple": 4.0, "OverloadFor": 3000 * MS, "RampTime": 17_000 * MS},
        "Tenants": [],
        "Tiers": ["vault"],
        "Weights": "rough",
        "WorthBy": "request",
        "Zone": "hill",
    }


def lien_chieu_campus():
    """`kit/more/node/sites/lien-chieu-campus.toml`, as in the example of the page on the simulator's wire."""
    return {
        "Blend": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2},
        "Clients": {"MarksRetry": False},
        "Family": "warm",
        "FamilyInfo": {
            "CountsAlike": True, "IdleMemoryCost": 0.0, "KindMemoryMb": [23680.0, 24576.0], "LoadSpan": 0,
            "LoadsAnyway": 0.0, "LoadsPerRequest": 0.0, "MarksCold": False, "OrderTimeout": 10_000 * MS, "Orders": True,
            "StaysLoaded": 8800 * MS, "WhenAbsent": "load"},
        "Grades": [
            grade("roster-view", "read_like", aim=1000, give_up=5000, worth=2.0, late=0.3),
            grade("visit-assign", "non_idempotent", aim=750, give_up=5000, worth=6.0, late=0.3)],
        "Granularity": 2 * MS,
        "Layer": 0,
        "Limits": {
            "ConnectTimeout": 250 * MS, "CpuUsPerRequest": 0.0, "CpuUsPerS": 500_000, "IdleClose": 30_000 * MS,
            "MaxRetryAfter": 500 * MS, "MayCancel": True, "MostTries": 4, "OpenCap": 20_000, "Peers": False,
            "Probes": True, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 32},
        "Localities": ["building-a", "building-b"],
        "Me": 0,
        "Models": ["std-2c", "slow-2c"],
        "OverShareWorth": 0.1,
        "PeersTotal": 2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.04, "Handshake": 0.0, "LateFail": 0.08, "Moves": 0.0,
                   "Origin": 0.1, "Peer": 0.0, "Probe": 0.01, "RegistryMode": 0.0, "Waste": 0.08},
        "RegistryMode": "pushed",
        "Report": {"Columns": ["rif", "busy", "x0", "x1"], "How": "answers"},
        "Rules": {"AnswerSlack": 8 * MS, "AskWithin": 10_000 * MS, "ColdFrom": 0.16, "DrainGrace": 1000 * MS,
                  "FallMultiple": 3.0, "OverloadFor": 2000 * MS, "RampTime": 17_000 * MS},
        "Tenants": [],
        "Tiers": ["roster-workers"],
        "Weights": "rough",
        "WorthBy": "request",
        "Zone": "building-a",
    }
