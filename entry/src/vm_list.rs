//! Poll of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use lacewingmoor_bundle::{Digest, digest_of};
use lacewingmoor_control::{Event, Vm, VmRole};
use metrics::counter;
use rand::RngExt as _;
use rand::rngs::StdRng;
use serde::Deserialize;
use slog::{Logger, warn};

use crate::events::Events;
use crate::http_get::{Error, client, fetch};
use crate::store::Call;

/// Time between two reads. A leaving target must get no new work after a few seconds.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Time within which a read must be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest list in bytes; about 150 bytes a VM.
const LIST_BYTES_MAX: usize = 4 << 20;

/// Reads of the VM list.
pub trait VmList: Send {
    /// Returns the list, or `None` if it is the same as at the last successful read.
    fn read(&mut self) -> Call<'_, Option<Vec<Vm>>>;
}

/// The VM list over HTTP.
pub struct HttpVmList {
    client: reqwest::Client,
    url: String,
    etag: Option<HeaderValue>,
    last: Option<Digest>,
}

#[derive(Deserialize)]
struct RawVm {
    id: String,
    address: SocketAddr,
    zone: String,
    region: String,
    role: RawRole,
    state: RawState,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RawRole {
    Entry,
    Target,
    /// VMs of roles that do not concern the load balancer.
    #[serde(other)]
    Other,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RawState {
    Live,
    Leaving,
}

impl HttpVmList {
    /// Creates a client of the list at `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP library.
    pub fn new(addr: SocketAddr) -> Result<Self, reqwest::Error> {
        Ok(Self {
            client: client(CALL_TIMEOUT)?,
            url: format!("http://{addr}/v1/vms"),
            etag: None,
            last: None,
        })
    }

    async fn call(&mut self) -> Result<Option<Vec<Vm>>, Error> {
        let step = "vm_list";
        counter!("lacewingmoor_vm_list_calls_total").increment(1);
        let mut request = self.client.get(&self.url);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let (response, body) = fetch(step, request, CALL_TIMEOUT, LIST_BYTES_MAX).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED if self.etag.is_some() => return Ok(None),
            status => return Err(Error::Unexpected(step, format!("status {status}"))),
        }
        let digest = digest_of(&body);
        if self.last == Some(digest) {
            return Ok(None);
        }
        let raw: Vec<RawVm> = serde_json::from_slice(&body)
            .map_err(|e| Error::Unexpected(step, format!("malformed list: {e}")))?;
        self.last = Some(digest);
        self.etag = response.headers().get(ETAG).cloned();
        Ok(Some(raw.into_iter().filter_map(vm).collect()))
    }
}

impl VmList for HttpVmList {
    fn read(&mut self) -> Call<'_, Option<Vec<Vm>>> {
        Box::pin(self.call())
    }
}

fn vm(raw: RawVm) -> Option<Vm> {
    let role = match raw.role {
        RawRole::Entry => VmRole::Entry,
        RawRole::Target => VmRole::Target,
        RawRole::Other => return None,
    };
    Some(Vm {
        name: raw.id,
        role,
        zone: raw.zone,
        region: raw.region,
        addr: raw.address,
        leaving: raw.state == RawState::Leaving,
    })
}

/// Polls the list for ever. After a failed read the last list stays in use.
pub async fn poll(mut list: impl VmList, events: Arc<dyn Events>, mut rng: StdRng, log: Logger) {
    let mut failed = false;
    loop {
        match list.read().await {
            Ok(vms) => {
                failed = false;
                if let Some(vms) = vms {
                    events.send(Event::VmList(vms));
                }
            }
            Err(error) => {
                counter!("lacewingmoor_vm_list_failures_total").increment(1);
                if !failed {
                    warn!(log, "vm list not read, last list stays in use"; "error" => %error);
                }
                failed = true;
            }
        }
        tokio::time::sleep(POLL_INTERVAL.mul_f64(rng.random_range(0.9..1.1))).await;
    }
}
