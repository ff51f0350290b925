//! Measures how sizes and times grow, extrapolates them to a large fleet, and prints both as the
//! tables of `docs/CAPACITY.md`.

mod fit;
mod measure;
mod sample;
mod size;

fn main() {
    println!("| Slope | Unit | Points | Base | For each | R2 |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let slopes = measure::measure_all();
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
            fit.intercept,
            fit.slope,
            fit.r_squared
        );
    }
    size::print_table(&slopes);
}
