//! Runs stand-ins of the platform as one process.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use lacewingmoor_standin::target::{Settings, Target};
use lacewingmoor_standin::vms::VmList;

/// Runs stand-ins of the platform until the process is ended.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Store(StoreArgs),
    Vms(VmsArgs),
    Targets(TargetsArgs),
}

/// Runs the configuration store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on (default: a free port on loopback)
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,
}

/// Runs the VM list.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
struct VmsArgs {
    /// address to listen on (default: a free port on loopback)
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,
    /// JSON file with the list to begin with
    #[argh(option)]
    file: Option<PathBuf>,
}

/// Runs targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
struct TargetsArgs {
    /// address of the first target; the others take the ports after it (default: free ports on
    /// loopback)
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,
    /// number of targets
    #[argh(option, default = "1")]
    count: u16,
    /// slots of each target
    #[argh(option, default = "4")]
    slots: usize,
    /// slots that a cold target bears
    #[argh(option, default = "1")]
    cold_slots: usize,
    /// mean service time in milliseconds
    #[argh(option, default = "10.0")]
    service_ms: f64,
    /// mean time between random stalls in milliseconds; 0 for none
    #[argh(option, default = "0")]
    stall_every_ms: u64,
    /// true if the targets start cold
    #[argh(switch)]
    cold: bool,
    /// seed of the first target; the others take the seeds after it
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Store(args) => store(args).await,
        Command::Vms(args) => vms(args).await,
        Command::Targets(args) => targets(args).await,
    }
}

async fn store(args: StoreArgs) -> Result<(), Box<dyn Error>> {
    let store = Store::start(args.listen).await?;
    println!("store {}", store.addr());
    Ok(tokio::signal::ctrl_c().await?)
}

async fn vms(args: VmsArgs) -> Result<(), Box<dyn Error>> {
    let list = VmList::start(args.listen).await?;
    if let Some(file) = args.file {
        list.set(serde_json::from_slice(&std::fs::read(file)?)?);
    }
    println!("vms {}", list.addr());
    Ok(tokio::signal::ctrl_c().await?)
}

async fn targets(args: TargetsArgs) -> Result<(), Box<dyn Error>> {
    let mut targets = Vec::new();
    for index in 0..args.count {
        let mut addr = args.listen;
        if addr.port() != 0 {
            addr.set_port(addr.port() + index);
        }
        let settings = Settings {
            name: format!("t{}", index + 1),
            slots: args.slots,
            cold_slots: args.cold_slots,
            service_ms: args.service_ms,
            stall_every_ms: args.stall_every_ms,
            cold: args.cold,
            seed: args.seed + u64::from(index),
            record: false,
            ..Settings::default()
        };
        let target = Target::start(addr, settings).await?;
        println!("target {} {}", target.settings().name, target.addr());
        targets.push(target);
    }
    Ok(tokio::signal::ctrl_c().await?)
}
