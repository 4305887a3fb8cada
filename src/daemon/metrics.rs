//! Registration and text form of a daemon's metrics.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Metrics of one process, whose names all begin alike.
#[derive(Clone, Debug)]
pub struct Registry {
    inner: prometheus::Registry,
    prefix: &'static str,
}

impl Registry {
    /// Registry whose names begin with `prefix`.
    pub fn new(prefix: &'static str) -> Self {
        Registry {
            inner: prometheus::Registry::new(),
            prefix,
        }
    }

    /// Gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(self.name(name), help))
    }

    /// Counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(self.name(name), help))
    }

    /// Counters by labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(self.name(name), help), labels))
    }

    /// Histogram with upper bounds.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Histogram {
        self.add(Histogram::with_opts(self.bounded(name, help, bounds)))
    }

    /// Histograms with upper bounds by labels.
    pub fn histograms(&self, name: &str, help: &str, bounds: &[f64], labels: &[&str]) -> HistogramVec {
        self.add(HistogramVec::new(self.bounded(name, help, bounds), labels))
    }

    /// All metrics in the text form.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.inner.gather())
            .unwrap_or_default()
    }

    fn add<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("legal names");
        self.inner
            .register(Box::new(metric.clone()))
            .expect("a unique name");
        metric
    }

    fn bounded(&self, name: &str, help: &str, bounds: &[f64]) -> HistogramOpts {
        HistogramOpts::new(self.name(name), help).buckets(bounds.to_vec())
    }

    fn name(&self, name: &str) -> String {
        format!("{}_{name}", self.prefix)
    }
}
