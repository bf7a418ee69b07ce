//! Renders the operator's file of an operating point. Each of its routes applies to a few tenants.
use super::operating_point::OperatingPoint;
use std::fmt::Write;

/// Maximum number of tenants that one route names; the remaining tenants have no route.
const MAX_TENANTS_PER_ROUTE: usize = 14;

/// Returns the text of the operator's file; `None` if the operating point has no routes.
pub fn render(point: &OperatingPoint) -> Option<String> {
    if point.routes == 0 {
        return None;
    }
    let mut text = String::from("[[class]]\nname = \"two tries\"\nattempts = 2\n");
    let tenants_per_route = (point.tenants / point.routes).clamp(1, MAX_TENANTS_PER_ROUTE);
    for route in 0..point.routes {
        let tenants = (0..tenants_per_route).map(|index| (route * tenants_per_route + index) % point.tenants);
        let quoted: Vec<String> = tenants.map(|tenant| format!("\"{tenant:016x}\"")).collect();
        let _ = write!(
            text,
            "\n[[route]]\noperations = [\"look\"]\ncustomers = [{}]\nclass = \"two tries\"\n",
            quoted.join(", ")
        );
    }
    Some(text)
}
