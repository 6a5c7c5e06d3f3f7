"""The process beside a backend server VM."""
