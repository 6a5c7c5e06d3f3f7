"""What a failed soak keeps."""

import json

import pytest

from tests.failed_soaks import FOLDER_VARIABLE, kept_on_failure


def _fail_with_logs(tmp_path, monkeypatch):
    logs = tmp_path / "logs"
    logs.mkdir()
    (logs / "n0.log").write_text("event=backend_server_crashed\n")
    monkeypatch.setenv(FOLDER_VARIABLE, str(tmp_path / "kept"))
    with kept_on_failure("soak-7", logs, lambda: {"injected": ["kill-2"]}):
        assert not "a promise that was broken"


def test_a_failed_soak_keeps_its_logs_and_prints_where(tmp_path, monkeypatch, capsys):
    # Guards against a failure that can't be traced, since a soak removes its folder.
    with pytest.raises(AssertionError):
        _fail_with_logs(tmp_path, monkeypatch)
    (kept,) = (tmp_path / "kept").iterdir()
    assert str(kept) in capsys.readouterr().out
    assert (kept / "n0.log").read_text() == "event=backend_server_crashed\n"
    facts = json.loads((kept / "facts.json").read_text())
    assert facts["injected"] == ["kill-2"]
    assert "a promise that was broken" in facts["error"]


def test_a_soak_that_passes_keeps_nothing(tmp_path, monkeypatch):
    monkeypatch.setenv(FOLDER_VARIABLE, str(tmp_path))
    with kept_on_failure("soak-7", tmp_path, dict):
        pass
    assert not list(tmp_path.iterdir())
