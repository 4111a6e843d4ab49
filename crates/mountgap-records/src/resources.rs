//! Amounts of CPU, GPU and memory.

/// Thousandths in one unit. Amounts on the wire are decimal; internally they are whole thousandths.
pub const MILLI_PER_UNIT: f64 = 1000.0;

/// Amounts that a task needs or a machine has, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: i64,
    /// Thousandths of a GPU.
    pub gpu: i64,
    /// Thousandths of a gigabyte of memory.
    pub ram: i64,
}

impl Resources {
    /// Converts decimal amounts, rounded to thousandths.
    pub fn new(cores: f64, gpus: f64, ram_gb: f64) -> Resources {
        let thousandths = |amount: f64| (amount * MILLI_PER_UNIT).round() as i64;
        Resources { cpu: thousandths(cores), gpu: thousandths(gpus), ram: thousandths(ram_gb) }
    }

    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.gpu <= self.gpu && need.ram <= self.ram
    }

    /// Whether cores and GPUs are at most those of `cap`, where 0 means no cap. Memory isn't compared.
    pub fn is_within(&self, cap: &Resources) -> bool {
        (cap.cpu == 0 || self.cpu <= cap.cpu) && (cap.gpu == 0 || self.gpu <= cap.gpu)
    }

    /// How many tasks with this `need` fit; `i64::MAX` if the need is empty.
    pub fn fit_count(&self, need: &Resources) -> i64 {
        let count = |have: i64, need: i64| if need > 0 { have.max(0) / need } else { i64::MAX };
        count(self.cpu, need.cpu).min(count(self.gpu, need.gpu)).min(count(self.ram, need.ram))
    }

    /// The dominant share: the largest fraction of `whole` over CPU, GPU and memory.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let share =
            |part: i64, whole: i64| if whole > 0 { part as f64 / whole as f64 } else { 0.0 };
        share(self.cpu, whole.cpu).max(share(self.gpu, whole.gpu)).max(share(self.ram, whole.ram))
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.ram += other.ram;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpu -= other.cpu;
        self.gpu -= other.gpu;
        self.ram -= other.ram;
    }
}

impl std::ops::Mul<i64> for Resources {
    type Output = Resources;
    fn mul(self, factor: i64) -> Resources {
        Resources { cpu: self.cpu * factor, gpu: self.gpu * factor, ram: self.ram * factor }
    }
}
