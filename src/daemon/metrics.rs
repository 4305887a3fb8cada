//! Registry of a daemon's metrics.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Metrics of one process, whose names share a prefix.
#[derive(Clone, Debug)]
pub struct Registry {
    inner: prometheus::Registry,
    prefix: &'static str,
}

impl Registry {
    /// Creates a registry that puts `prefix` and an underscore before every name.
    pub fn new(prefix: &'static str) -> Self {
        Registry {
            inner: prometheus::Registry::new(),
            prefix,
        }
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(self.full_name(name), help))
    }

    /// Registers a gauge for each combination of labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(self.full_name(name), help), labels))
    }

    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(self.full_name(name), help))
    }

    /// Registers a counter for each combination of labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(self.full_name(name), help), labels))
    }

    /// Registers a histogram with the upper `bounds` of its buckets.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Histogram {
        self.register(Histogram::with_opts(self.histogram_options(name, help, bounds)))
    }

    /// Registers a histogram for each combination of labels, with the upper `bounds` of its buckets.
    pub fn histograms(&self, name: &str, help: &str, bounds: &[f64], labels: &[&str]) -> HistogramVec {
        self.register(HistogramVec::new(
            self.histogram_options(name, help, bounds),
            labels,
        ))
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.inner.gather())
            .unwrap_or_default()
    }

    fn register<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("legal names");
        self.inner
            .register(Box::new(metric.clone()))
            .expect("a unique name");
        metric
    }

    fn histogram_options(&self, name: &str, help: &str, bounds: &[f64]) -> HistogramOpts {
        HistogramOpts::new(self.full_name(name), help).buckets(bounds.to_vec())
    }

    fn full_name(&self, name: &str) -> String {
        format!("{}_{name}", self.prefix)
    }
}
