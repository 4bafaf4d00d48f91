"""A request from a caller through fabric, balancer and agent to an upstream."""

from bilberrypath import Answered, Caller, CallerOptions

TWO_DATA_CENTRES = """\
[added]
data centre atlantic = in
data centre citybowl = in
service dispatch = port 9443, data centres atlantic citybowl
"""


class TestWholePath:
    async def test_request_upload_and_stream(self, deployment):
        deployment.service_port_by_name = {"dispatch": 9443}
        deployment.start_store()
        hosts = [deployment.add_balancer(c).host for c in ("atlantic", "citybowl")]
        deployment.start_fabric(hosts)
        for data_centre in ("atlantic", "citybowl"):
            deployment.add_upstream(data_centre, "dispatch")
        code, output = await deployment.accept(TWO_DATA_CENTRES)
        assert (code, output) == (0, "accepted as revision 1\n")
        await deployment.wait_in_force(1, count=4)
        options = CallerOptions(deployment.address("dispatch"), deployment.authorities)
        caller = Caller(options)
        try:
            outcome = await caller.request("POST", "/rides", b"two", key="ride-1")
            assert isinstance(outcome, Answered)
            assert outcome.body.startswith(b"POST /rides ride-1 3")
            photo = await caller.request("POST", "/echo", b"p" * 5_000_000)
            assert photo == Answered(200, b"x" * 5_000_000)
            numbers = []
            async for item in caller.stream("/board"):
                numbers.append(item.number)
                if len(numbers) == 5:
                    break
            assert numbers == list(range(numbers[0], numbers[0] + 5))
        finally:
            await caller.close()
        runs = [row for row in deployment.read_ledger() if row["event"] == "run"]
        assert [row["key"] for row in runs if row["path"] == "/rides"] == ["ride-1"]
