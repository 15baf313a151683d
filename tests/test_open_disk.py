"""A keeper that starts while its disk refuses writes waits; a path that is not a folder ends the start."""

import pytest

import mothshed.constants as constants
import mothshed.programs.serving as serving
import mothshed.storage.disk as disk_module


def test_startup_waits_for_a_disk_that_refuses_writes(tmp_path, monkeypatch):
    refusals, pauses = [True] * 3, []

    def sleep(seconds):
        pauses.append(seconds)
        assert len(pauses) < 10, "the start still waits after the disk accepts writes"

    put = disk_module.Disk.put

    def refuse(self, name, data):
        if refusals:
            refusals.pop()
            raise disk_module.DiskError("no space")
        return put(self, name, data)

    monkeypatch.setattr(disk_module.Disk, "put", refuse)
    disk = serving.open_disk(str(tmp_path / "data"), sleep)
    assert pauses == [constants.DISK_RETRY_INTERVAL_S] * 3
    assert disk.read("probe") == b"."


def test_a_folder_that_cannot_be_created_is_a_disk_error(tmp_path):
    (tmp_path / "data").write_text("a file in its place")
    with pytest.raises(disk_module.DiskError):
        serving.open_disk(str(tmp_path / "data"))
