//! Networks in CIDR notation: `10.2.0.0/16`, `2001:db8::/32`, or a single address.
use std::net::IpAddr;
use std::str::FromStr;

const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;

/// The addresses that share a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    address: IpAddr,
    prefix_bits: u8,
}

/// The reason why a string is not a network.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NetworkError {
    /// The address or the prefix length can't be parsed.
    #[error("expected an IP address or a network such as 10.2.0.0/16, found '{0}'")]
    Malformed(String),
    /// The prefix length exceeds the length of the address.
    #[error("expected a prefix length of at most {max_bits} bits, found '{text}'")]
    PrefixTooLong {
        /// The string that was parsed.
        text: String,
        /// Length of the address, bits.
        max_bits: u8,
    },
    /// The address has bits set after the prefix.
    #[error("expected zeros after the first {prefix_bits} bits, found '{text}'")]
    HostBitsSet {
        /// The string that was parsed.
        text: String,
        /// Length of the prefix, bits.
        prefix_bits: u8,
    },
}

impl Network {
    /// Returns whether an address lies in the network; an IPv4-mapped IPv6 address counts as IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        let differing = left_aligned(self.address) ^ left_aligned(address);
        self.address.is_ipv4() == address.is_ipv4() && leading_bits(differing, self.prefix_bits) == 0
    }
}

/// Returns the bits of an address, aligned to the most significant bit.
fn left_aligned(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()) << (IPV6_BITS - IPV4_BITS),
        IpAddr::V6(address) => address.to_bits(),
    }
}

fn leading_bits(bits: u128, count: u8) -> u128 {
    bits.checked_shr(u32::from(IPV6_BITS - count)).unwrap_or(0)
}

fn bits_after(bits: u128, count: u8) -> u128 {
    bits.checked_shl(u32::from(count)).unwrap_or(0)
}

impl FromStr for Network {
    type Err = NetworkError;

    fn from_str(text: &str) -> Result<Network, NetworkError> {
        let malformed = || NetworkError::Malformed(text.to_owned());
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().map_err(|_| malformed())?;
        let max_bits = if address.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        let prefix_bits: u8 = bits.map_or(Ok(max_bits), str::parse).map_err(|_| malformed())?;
        if prefix_bits > max_bits {
            return Err(NetworkError::PrefixTooLong { text: text.to_owned(), max_bits });
        }
        if bits_after(left_aligned(address), prefix_bits) != 0 {
            return Err(NetworkError::HostBitsSet { text: text.to_owned(), prefix_bits });
        }
        Ok(Network { address, prefix_bits })
    }
}
