//! Metrics in the Prometheus text format, read from the parts' own counters at each scrape.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, MetricEncoder};
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

/// Prefix of every metric's name.
const PREFIX: &str = "wingspar";

/// Whether a metric only rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A total since the process started.
    Counter,
    /// A value that goes up and down.
    Gauge,
}

/// One value of a metric.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Labels by name.
    pub labels: Vec<(&'static str, String)>,
    /// The value.
    pub value: u64,
}

/// One metric with all its values.
#[derive(Debug, Clone, PartialEq)]
pub struct Family {
    /// Name without the prefix and, for counters, without `_total`.
    pub name: String,
    /// One sentence for the operator.
    pub help: &'static str,
    /// Counter or gauge.
    pub kind: Kind,
    /// The values.
    pub points: Vec<Point>,
}

impl Family {
    /// A metric with one value and no labels.
    pub fn single(name: impl Into<String>, help: &'static str, kind: Kind, value: u64) -> Self {
        let point = Point {
            labels: Vec::new(),
            value,
        };
        Self {
            name: name.into(),
            help,
            kind,
            points: vec![point],
        }
    }

    /// Counters with stable names under a common prefix.
    pub fn counters<'a>(
        prefix: &'a str,
        help: &'static str,
        entries: impl IntoIterator<Item = (&'static str, u64)> + 'a,
    ) -> impl Iterator<Item = Self> + 'a {
        let entries = entries.into_iter();
        entries.map(move |(name, value)| {
            Self::single(format!("{prefix}_{name}"), help, Kind::Counter, value)
        })
    }
}

type Source = Box<dyn Fn(&mut Vec<Family>) + Send + Sync>;

/// All sources of metrics of one process; clones share them.
#[derive(Clone, Default)]
pub struct Metrics {
    sources: Arc<Mutex<Vec<Source>>>,
}

impl Metrics {
    /// Adds a part that appends its metrics at each scrape. It must not block.
    pub fn add_source(&self, source: impl Fn(&mut Vec<Family>) + Send + Sync + 'static) {
        let mut sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        sources.push(Box::new(source));
    }

    /// Reads all metrics.
    pub fn read(&self) -> Vec<Family> {
        let sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        let mut families = Vec::new();
        for source in sources.iter() {
            source(&mut families);
        }
        families
    }

    /// Reads all metrics in the text format.
    ///
    /// Errors: a metric can't be encoded, which is a defect.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register_collector(Box::new(self.clone()));
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Metrics")
    }
}

impl Collector for Metrics {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        for family in self.read() {
            let kind = match family.kind {
                Kind::Counter => MetricType::Counter,
                Kind::Gauge => MetricType::Gauge,
            };
            let mut metric = encoder.encode_descriptor(&family.name, family.help, None, kind)?;
            for point in &family.points {
                encode_point(&mut metric, family.kind, point)?;
            }
        }
        Ok(())
    }
}

fn encode_point(metric: &mut MetricEncoder<'_>, kind: Kind, point: &Point) -> fmt::Result {
    if point.labels.is_empty() {
        return encode_value(metric, kind, point.value);
    }
    encode_value(&mut metric.encode_family(&point.labels)?, kind, point.value)
}

fn encode_value(metric: &mut MetricEncoder<'_>, kind: Kind, value: u64) -> fmt::Result {
    match kind {
        Kind::Counter => metric.encode_counter::<[(&str, &str); 0], _, u64>(&value, None),
        Kind::Gauge => metric.encode_gauge(&i64::try_from(value).unwrap_or(i64::MAX)),
    }
}
