//! Measures the slopes that `docs/CAPACITY.md` is worked out from, and prints its tables.

mod fit;
mod measure;
mod sample;
mod size;

fn main() {
    println!("| Slope | Unit | Points | Base | For each | R2 |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let slopes = measure::all();
    for slope in &slopes {
        let points: Vec<_> = slope
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.2}"))
            .collect();
        let fit = slope.fit;
        println!(
            "| {} | {} | {} | {:.2} | {:.4} | {:.3} |",
            slope.name,
            slope.unit,
            points.join(", "),
            fit.base,
            fit.slope,
            fit.r2
        );
    }
    size::print(&slopes);
}
