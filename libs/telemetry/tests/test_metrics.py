import subprocess
import sys

SCRIPT = """
import sys
from bilberryhitch_telemetry import metrics, scrape, start_metrics
metrics.REQUESTS.add(5, {"outcome": "early"})
start_metrics()
metrics.REQUESTS.add(1, {"route": "fit", "outcome": "completed"})
metrics.CONFIG_REVISION.set(7)
text = scrape().decode()
assert 'bilberryhitch_requests_total{' in text and 'outcome="completed"' in text
assert "bilberryhitch_config_revision{" in text and "} 7.0" in text
assert not any("otlp" in name for name in sys.modules)
"""


def test_scrape_shows_instruments_without_loading_the_otlp_exporter():
    # The meter provider is global to a process, so the test runs one of its own.
    subprocess.run([sys.executable, "-c", SCRIPT], check=True)
