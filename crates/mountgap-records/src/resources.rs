//! What a task takes or a machine has.

/// Amounts on the wire are decimal; inside they are whole thousandths.
pub const MILLI: f64 = 1000.0;

/// What a task takes or a machine has, in thousandths.
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
    /// From decimal amounts.
    pub fn new(cores: f64, gpus: f64, ram_gb: f64) -> Resources {
        let thousandths = |amount: f64| (amount * MILLI).round() as i64;
        Resources { cpu: thousandths(cores), gpu: thousandths(gpus), ram: thousandths(ram_gb) }
    }

    /// Whether `need` fits into what is here.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.gpu <= self.gpu && need.ram <= self.ram
    }

    /// Whether it keeps a cap on cores and GPUs, of which 0 means none.
    pub fn under(&self, cap: &Resources) -> bool {
        (cap.cpu == 0 || self.cpu <= cap.cpu) && (cap.gpu == 0 || self.gpu <= cap.gpu)
    }

    /// How many times `need` fits; `i64::MAX` if nothing is needed.
    pub fn times(&self, need: &Resources) -> i64 {
        let times = |have: i64, need: i64| if need > 0 { have.max(0) / need } else { i64::MAX };
        times(self.cpu, need.cpu).min(times(self.gpu, need.gpu)).min(times(self.ram, need.ram))
    }

    /// The largest share of `whole` that this is, in any dimension.
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
