//! A range of addresses, as operators write it: `10.2.0.0/16`, `2001:db8::/32` or one address.
use std::net::IpAddr;
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    address: IpAddr,
    bits: u8,
}

impl Network {
    pub fn holds(&self, other: IpAddr) -> bool {
        let other = other.to_canonical();
        match (self.address, other) {
            (IpAddr::V4(a), IpAddr::V4(b)) => {
                same(u128::from(a.to_bits()) << 96, u128::from(b.to_bits()) << 96, self.bits)
            }
            (IpAddr::V6(a), IpAddr::V6(b)) => same(a.to_bits(), b.to_bits(), self.bits),
            _ => false,
        }
    }
}

fn same(a: u128, b: u128, bits: u8) -> bool {
    bits == 0 || (a ^ b) >> (128 - u32::from(bits)) == 0
}

impl FromStr for Network {
    type Err = String;
    fn from_str(text: &str) -> Result<Network, String> {
        let (address, bits) = text.split_once('/').map_or((text, None), |(a, b)| (a, Some(b)));
        let wrong = || format!("'{text}': expected an address, or one and its bits: 10.2.0.0/16");
        let address: IpAddr = address.parse().map_err(|_| wrong())?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let bits: u8 = bits.map_or(Ok(most), str::parse).map_err(|_| wrong())?;
        if bits > most {
            return Err(format!("'{text}': {most} bits at the most"));
        }
        let network = Network { address, bits };
        let whole = match address {
            IpAddr::V4(a) => u128::from(a.to_bits()) << 96,
            IpAddr::V6(a) => a.to_bits(),
        };
        if bits < 128 && whole << bits != 0 && !(address.is_ipv4() && bits == 32) {
            return Err(format!("'{text}': bits are set behind the first {bits}"));
        }
        Ok(network)
    }
}
