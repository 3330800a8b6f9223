//! A request is served only in regions that both its route and its workspace allow; a list without
//! regions allows every region.

use oliveworks_gateway_core::residency::Allowed;
use test_case::test_case;

#[test_case(&[], &[], Some("north"), true; "anywhere")]
#[test_case(&[], &[], None, true; "anywhere, also where no region is known")]
#[test_case(&["north"], &[], Some("north"), true; "the route's region")]
#[test_case(&["north"], &[], Some("south"), false; "not the route's region")]
#[test_case(&[], &["north"], Some("south"), false; "not the workspace's region")]
#[test_case(&["north"], &[], None, false; "no region is none that is named")]
#[test_case(&["north", "south"], &["south"], Some("south"), true; "both name it")]
#[test_case(&["north", "south"], &["south"], Some("north"), false; "only the route names it")]
#[test_case(&["north"], &["south"], Some("north"), false; "they name nothing together")]
#[test_case(&["north"], &["south"], Some("south"), false; "the other one neither")]
fn a_region_serves(route: &[&str], workspace: &[&str], region: Option<&str>, expected: bool) {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let (route, workspace) = (owned(route), owned(workspace));
    let allowed = Allowed { route: &route, workspace: &workspace };
    assert_eq!(allowed.may_serve(region), expected);
    assert_eq!(allowed.is_anywhere(), route.is_empty() && workspace.is_empty());
}
