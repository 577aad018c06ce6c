from bilberryhitch_membership import owner, ranked

HOSTS = [f"e{number}" for number in range(8)]


def test_scores_do_not_change_between_processes_or_versions():
    # Guards against a hash that differs between processes, such as hash().
    assert ranked("x1", ["e1", "e2", "e3", "e4"]) == ["e2", "e1", "e3", "e4"]


def test_the_owner_is_the_first_rank_in_any_order_of_hosts():
    for key in map(str, range(100)):
        assert owner(key, HOSTS) == ranked(key, reversed(HOSTS))[0]


def test_removing_a_host_moves_only_its_keys():
    for key in map(str, range(200)):
        before = owner(key, HOSTS)
        after = owner(key, [host for host in HOSTS if host != "e3"])
        assert before in (after, "e3")
