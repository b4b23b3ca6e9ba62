"""Tests of parsing, checking and chunking the configuration file."""

from dataclasses import replace

from msgspec.json import decode
from msgspec.json import encode
import pytest
from result import Err
from result import Ok

from tests.examples import example_configuration
from tests.examples import EXAMPLES
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration_store import join_configuration
from wasabiwing.configuration_store import MAX_CHUNK_BYTES
from wasabiwing.configuration_store import split_configuration
from wasabiwing.operations import check_document

TARGET_WORKERS = 7_700


def document() -> dict[str, object]:
    """Returns the example file as plain JSON values."""
    text = (EXAMPLES / "lakeshore" / "configuration.json").read_bytes()
    return decode(text, type=dict[str, object])


class TestCheck:
    """Tests that an invalid file is rejected with each error's path."""

    @pytest.mark.parametrize("name", ["lakeshore", "granite-hollow"])
    def test_examples_are_valid(self, name: str) -> None:
        assert example_configuration(name).name == name

    def test_broken_json_is_named(self) -> None:
        checked = check_document(b'{"name": ')
        assert isinstance(checked, Err)
        assert checked.err_value.code is ResultCode.CONFIGURATION_MALFORMED

    def test_every_schema_error_is_reported_with_its_path(self) -> None:
        wrong = document()
        wrong["colour"] = "red"
        wrong["max_body_bytes"] = "many"
        checked = check_document(encode(wrong))
        assert isinstance(checked, Err)
        text = "\n".join(checked.err_value.lines)
        assert "'colour' was unexpected" in text
        assert "$.max_body_bytes: expected integer, got str" in text

    def test_dangling_references_are_reported(self) -> None:
        wrong = document()
        routes = wrong["routes"]
        assert isinstance(routes, list)
        routes[0]["pool"] = "nowhere"
        routes[1]["organisations"] = ["nobody"]
        checked = check_document(encode(wrong))
        assert isinstance(checked, Err)
        assert checked.err_value.code is ResultCode.CONFIGURATION_REFERENCE
        assert checked.err_value.lines == (
            "$.routes[0].pool: unknown pool 'nowhere'",
            "$.routes[1].organisations[0]: unknown organisation 'nobody'",
        )


class TestChunks:
    """Tests of splitting a configuration into chunks and joining them."""

    def test_round_trip(self) -> None:
        configuration = example_configuration()
        chunked = split_configuration(configuration)
        joined = join_configuration(chunked.digest, chunked.chunk_by_digest)
        assert joined == Ok(configuration)

    def test_a_damaged_chunk_is_named(self) -> None:
        chunked = split_configuration(example_configuration())
        damaged = dict.fromkeys(chunked.chunk_by_digest, b"damage")
        joined = join_configuration(chunked.digest, damaged)
        assert isinstance(joined, Err)
        assert chunked.digest in joined.err_value

    def test_the_target_size_fits_and_a_change_moves_few_chunks(self) -> None:
        """Guards the store's value limit and the control traffic budget."""
        configuration = example_configuration()
        pool = configuration.pools[0]
        servers = tuple(
            BackendServer(
                f"server-{number:05d}",
                f"10.0.{number // 250}.{number % 250}:9000",
                "great-lakes-a",
                "quote-7b-r1",
            )
            for number in range(TARGET_WORKERS)
        )

        def with_servers(
            servers: tuple[BackendServer, ...],
        ) -> dict[str, bytes]:
            changed = replace(pool, servers=servers)
            return split_configuration(
                replace(configuration, pools=(changed,))
            ).chunk_by_digest

        before = with_servers(servers)
        after = with_servers(
            (*servers[:-1], replace(servers[-1], max_slots=17))
        )
        assert max(map(len, before.values())) < MAX_CHUNK_BYTES
        # The changed bucket and the manifest.
        assert len(after.keys() - before.keys()) == 2
