//! First starts of a group under faults: voters that start in any order, and disks that are lost
//! right after the first configuration was acknowledged.

use std::io::Result;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::cluster::Cluster;
use crate::deployment::VOTERS;
use crate::operator::Operator;

/// Longest time between the starts of two voters, in milliseconds.
const SPREAD_MAX_MS: u64 = 75;

/// Longest time from the first acknowledgement to the loss of disks, in milliseconds.
const LOSS_DELAY_MAX_MS: u64 = 800;

/// Longest time for which a voter without its disk is down, in milliseconds.
const DOWN_MAX_MS: u64 = 1_500;

/// Voters whose disks may be lost at the same time.
const LOSSES_MAX: usize = 2;

/// Voters that have a seat from the start.
const SEEDS: usize = 3;

/// Time between two attempts of the operator.
const ATTEMPT_EVERY: Duration = Duration::from_millis(10);

impl Cluster {
    /// Starts the voters in random order, has the first configuration acknowledged meanwhile, and then
    /// takes one or two of their disks.
    pub(crate) async fn start_under_losses(
        &mut self,
        rng: &mut ChaCha8Rng,
        operator: &mut Operator,
        deadline: Instant,
    ) -> Result<()> {
        let mut order = (0..VOTERS).collect::<Vec<_>>();
        order.shuffle(rng);
        let gaps = order.iter().map(|_| rng.random_range(0..SPREAD_MAX_MS));
        let gaps = gaps.collect::<Vec<_>>();
        let voters = &mut self.voters;
        let start = async {
            for (voter, gap) in order.iter().zip(gaps) {
                voters[*voter].start()?;
                tokio::time::sleep(Duration::from_millis(gap)).await;
            }
            Result::Ok(())
        };
        let configure = async {
            let mut seeds = (0..SEEDS).cycle();
            while Instant::now() < deadline {
                let seed = seeds.next().unwrap_or_default();
                if operator.configure(seed).await {
                    return;
                }
                tokio::time::sleep(ATTEMPT_EVERY).await;
            }
        };
        let (started, ()) = tokio::join!(start, configure);
        started?;
        let delay = rng.random_range(0..LOSS_DELAY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        order.shuffle(rng);
        order.truncate(rng.random_range(1..=LOSSES_MAX));
        for voter in &order {
            self.lose_disk(*voter)?;
        }
        let down = rng.random_range(0..DOWN_MAX_MS);
        tokio::time::sleep(Duration::from_millis(down)).await;
        order
            .iter()
            .try_for_each(|voter| self.voters[*voter].start())
    }

    /// Kills a voter, deletes its data folder and tells it that the group exists.
    fn lose_disk(&mut self, voter: usize) -> Result<()> {
        self.injected
            .push(format!("voter-{voter} loses its disk after the start"));
        let folder = self.data_folder(voter);
        let settings = self.deployment.voter_settings(voter, &folder, false);
        self.voters[voter].kill()?;
        self.voters[voter].configure(&settings)?;
        std::fs::remove_dir_all(folder)
    }
}
