//! A deployment of real processes on loopback addresses, with the commands of the deploy file.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Has the kernel kill a process when its parent ends, however that ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A class of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Machines that serve control.
    Core,
    /// Machines that keep lots.
    Storage,
    /// Machines that serve clients.
    Edge,
}

/// A zone and its region.
pub type Zone = (&'static str, &'static str);

/// The losses that the settings promise to bear.
#[derive(Debug, Clone, Copy)]
pub struct Tolerance {
    /// Machines.
    pub machines: u16,
    /// Regions.
    pub regions: u16,
}

/// The bound `status_interval_s` of most cases.
const STATUS_INTERVAL_S: u64 = 120;

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: Class,
    /// Its zone and region.
    pub zone: Zone,
    /// Its address.
    pub ip: Ipv4Addr,
}

/// A deployment.
pub struct Fleet {
    /// Its machines.
    pub machines: Vec<Machine>,
    zones: Vec<Zone>,
    tolerance: Tolerance,
    network: u8,
    /// Three core machines, by position in `machines`.
    seeds: Vec<usize>,
    /// The bound of that name: for how long results are kept at least.
    pub status_interval_s: u64,
    folder: PathBuf,
    children: Vec<(usize, Child)>,
}

/// The time within which all machines are started.
const START_SPAN: std::time::Duration = std::time::Duration::from_millis(250);
const FRONT_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const FIRST_INTERNAL_PORT: u16 = 7720;

/// A second octet of loopback addresses that nobody uses now.
fn free_network() -> u8 {
    let first = std::process::id() % 150;
    (0..150)
        .map(|step| 60 + ((first + step) % 150) as u8)
        .find(|network| {
            let ip = Ipv4Addr::new(127, *network, 1, 1);
            [FIRST_INTERNAL_PORT, CONTROL_PORT, FRONT_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        })
        .expect("a free loopback network")
}

impl Fleet {
    /// A deployment with one machine per entry: its class and zone. `seeds` are positions of core
    /// machines.
    pub fn new(
        places: &[(Class, Zone)],
        seeds: &[usize],
        tolerance: Tolerance,
        folder: PathBuf,
    ) -> Self {
        let network = free_network();
        let mut zones: Vec<Zone> = places.iter().map(|(_, zone)| *zone).collect();
        zones.sort();
        zones.dedup();
        let machines = (1u8..).zip(places).map(|(number, (class, zone))| {
            let class_name = format!("{class:?}").to_lowercase();
            let name = format!("{class_name}-{}-{number}", zone.0);
            Machine { name, class: *class, zone: *zone, ip: Ipv4Addr::new(127, network, 1, number) }
        });
        let machines = machines.collect();
        let seeds = seeds.to_vec();
        let status_interval_s = STATUS_INTERVAL_S;
        Self {
            status_interval_s,
            machines,
            zones,
            tolerance,
            network,
            seeds,
            folder,
            children: Vec::new(),
        }
    }

    /// The address of a stand-in.
    pub fn stand_in(&self, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.network, 2, number), 8080).into()
    }

    /// The addresses of the given port on machines of a class outside of a region.
    fn addresses(&self, class: Class, port: u16, lost_region: Option<&str>) -> Vec<SocketAddr> {
        let machines = self.machines.iter().filter(|machine| {
            machine.class == class && lost_region.is_none_or(|region| machine.zone.1 != region)
        });
        machines.map(|machine| (machine.ip, port).into()).collect()
    }

    /// Where clients reach the edge machines outside of a region.
    pub fn fronts(&self, lost_region: Option<&str>) -> Vec<SocketAddr> {
        self.addresses(Class::Edge, FRONT_PORT, lost_region)
    }

    /// Where operators reach the core machines outside of a region.
    pub fn controls(&self, lost_region: Option<&str>) -> Vec<SocketAddr> {
        self.addresses(Class::Core, CONTROL_PORT, lost_region)
    }

    /// Where the readiness of the edge machines is asked.
    pub fn readiness(&self) -> Vec<SocketAddr> {
        self.addresses(Class::Edge, READINESS_PORT, None)
    }

    fn settings(&self, machine: &Machine, list: SocketAddr) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.machines[*seed].ip))
            .collect();
        let zones: String =
            self.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let (ip, name, zone) = (machine.ip, &machine.name, machine.zone);
        let (served, listen, disk_mb) = match machine.class {
            Class::Core => ("control", format!("control = \"{ip}:{CONTROL_PORT}\"\n"), 128),
            Class::Storage => ("storage", String::new(), 450),
            Class::Edge => (
                "edge",
                format!("front = \"{ip}:{FRONT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n"),
                0,
            ),
        };
        let data = match machine.class {
            Class::Edge => String::new(),
            _ => format!("data_dir = {:?}\n", self.folder.join(name).join("data")),
        };
        let class = format!("{:?}", machine.class).to_lowercase();
        let counted = machine.class != Class::Edge;
        let Tolerance { machines, regions } = self.tolerance;
        format!(
            "node_name = \"{name}\"\nmachine_class = \"{class}\"\nserved_roles = [\"{served}\"]\n\
             ip_address = \"{ip}\"\nzone = \"{}\"\nregion = \"{}\"\n\
             internal_port_range = [{FIRST_INTERNAL_PORT},7735]\nseed_nodes = [{}]\n\
             initial_start = true\nloss_counted = {counted}\ndiscovery = \"platform\"\n\
             entry = \"virtual_ip\"\nbeat_interval_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\
             \"engine\"]\n{data}\
             [zones]\n{zones}[listen_addresses]\n{listen}\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_mbps = 1000.0\ndisk_mb = {disk_mb}\n\
             [fault_tolerance]\nmachines = {machines}\nzones = 0\nregions = {regions}\n\
             [bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4.6\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrevert_slack_ms = 250\nstretch_max_ms = 5000\n\
             recovery_s = 12\npass_interval_ms = 120\nfinish_s = 10\nstatus_interval_s = {}\n\
             cancel_ms = 3000\nsettle_ms = 1000\nquota_overrun = 0.1\n\
             [platform_api]\naddress = \"{list}\"\nrate_per_s = 47.0\nduties = []\n\
             max_lag_ms = 800\n",
            zone.0,
            zone.1,
            seeds.join(","),
            self.status_interval_s
        )
    }

    /// Starts the processes of all machines in the order of `machines`, within 0.3 s.
    pub fn start(&mut self, list: SocketAddr) -> std::io::Result<()> {
        let pause = START_SPAN / self.machines.len() as u32;
        for number in 0..self.machines.len() {
            std::thread::sleep(pause);
            let machine = self.machines[number].clone();
            let home = self.folder.join(&machine.name);
            std::fs::create_dir_all(home.join("data"))?;
            let settings = home.join("node.toml");
            std::fs::write(&settings, self.settings(&machine, list))?;
            let roles: &[(&str, &str)] = match machine.class {
                Class::Core => &[("control", "9466")],
                Class::Storage => &[("storage", "9467")],
                Class::Edge => &[("relay", "9464"), ("agent", "9465")],
            };
            for (role, metrics_port) in roles {
                let log = std::fs::File::create(home.join(format!("{role}.log")))?;
                let mut command = Command::new("target/release/topazyard-on-platform");
                // SAFETY: the call takes plain numbers and changes only the new process.
                unsafe {
                    command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                        0 => Ok(()),
                        _ => Err(std::io::Error::last_os_error()),
                    });
                }
                let child = command
                    .args([role, "--metrics-port", metrics_port])
                    .env_clear()
                    .env("PATH", std::env::var_os("PATH").unwrap_or_default())
                    .env("TOPAZYARD_SETTINGS", &settings)
                    .stdin(Stdio::null())
                    .stdout(log.try_clone()?)
                    .stderr(log)
                    .spawn()?;
                self.children.push((number, child));
            }
        }
        Ok(())
    }

    /// Writes the settings files anew, with another address of the platform's list, and sends SIGHUP
    /// to every process.
    pub fn move_list(&self, list: SocketAddr) -> std::io::Result<()> {
        for machine in &self.machines {
            let settings = self.folder.join(&machine.name).join("node.toml");
            let next = settings.with_extension("next");
            std::fs::write(&next, self.settings(machine, list))?;
            std::fs::rename(&next, &settings)?;
        }
        let processes: Vec<String> =
            self.children.iter().map(|(_, child)| child.id().to_string()).collect();
        let command = format!("kill -HUP {}", processes.join(" "));
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(std::io::ErrorKind::Other.into()) }
    }

    /// Kills all processes on the machines of a region at the same moment. They stay down.
    pub fn lose_region(&mut self, region: &str) -> usize {
        let machines = &self.machines;
        let (mut lost, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.children)
            .into_iter()
            .partition(|(machine, _)| machines[*machine].zone.1 == region);
        self.children = kept;
        lost.iter_mut().for_each(|(_, child)| drop(child.kill()));
        lost.iter_mut().for_each(|(_, child)| drop(child.wait()));
        lost.len()
    }

    /// The machines with a process that has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let machines = &self.machines;
        let ended = self.children.iter_mut().filter_map(|(machine, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{} ({status})", machines[*machine].name))
        });
        ended.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.iter_mut().for_each(|(_, child)| drop(child.kill()));
        self.children.iter_mut().for_each(|(_, child)| drop(child.wait()));
        // What is left in the temporary folder is of no use.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
