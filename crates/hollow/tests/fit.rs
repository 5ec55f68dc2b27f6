//! The line fit against data whose line and errors are known.

use wingspar_hollow::fit;

#[test]
fn an_exact_line_has_no_error() {
    let points: Vec<(f64, f64)> = (1..=6)
        .map(|x| (f64::from(x), 3.0 + 0.5 * f64::from(x)))
        .collect();
    let line = fit(&points).expect("enough points");
    assert!((line.slope - 0.5).abs() < 1e-12);
    assert!((line.intercept - 3.0).abs() < 1e-12);
    assert!(line.slope_error < 1e-9 && line.intercept_error < 1e-9);
    assert!((line.at(10.0) - 8.0).abs() < 1e-9);
}

/// Anscombe's first data set (1973): y = 3.0001 + 0.5001 x, standard errors 1.1247 and 0.1179,
/// r² 0.6665.
#[test]
fn anscombes_line_is_found() {
    let points = [
        (10.0, 8.04),
        (8.0, 6.95),
        (13.0, 7.58),
        (9.0, 8.81),
        (11.0, 8.33),
        (14.0, 9.96),
        (6.0, 7.24),
        (4.0, 4.26),
        (12.0, 10.84),
        (7.0, 4.82),
        (5.0, 5.68),
    ];
    let line = fit(&points).expect("enough points");
    assert!((line.slope - 0.5001).abs() < 1e-4);
    assert!((line.slope_error - 0.1179).abs() < 1e-4);
    assert!((line.intercept - 3.0001).abs() < 1e-4);
    assert!((line.intercept_error - 1.1247).abs() < 1e-4);
    assert!((line.r_squared - 0.6665).abs() < 1e-4);
}

#[test]
fn too_few_points_have_no_line() {
    assert!(fit(&[(1.0, 1.0), (2.0, 2.0)]).is_none());
    assert!(fit(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_none());
}
