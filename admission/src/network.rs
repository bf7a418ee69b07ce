//! A range of addresses, as operators write it: `10.2.0.0/16`, `2001:db8::/32` or one address.
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

/// What is wrong with the text of a network.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NetworkError {
    /// No address, or no number of bits.
    #[error("'{0}': expected an address, or one and its bits: 10.2.0.0/16")]
    Malformed(String),
    /// More bits than such an address has.
    #[error("'{text}': {most} bits at the most")]
    TooManyBits {
        /// The text.
        text: String,
        /// The bits of such an address.
        most: u8,
    },
    /// Bits of the address are set that are not of the prefix.
    #[error("'{text}': bits are set behind the first {prefix_bits}")]
    BitsBehindPrefix {
        /// The text.
        text: String,
        /// The bits of the prefix.
        prefix_bits: u8,
    },
}

impl Network {
    /// Whether an address lies in it; an IPv4 address that is mapped into IPv6 counts as IPv4.
    pub fn holds(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        let differing = left_aligned(self.address) ^ left_aligned(address);
        self.address.is_ipv4() == address.is_ipv4() && leading_bits(differing, self.prefix_bits) == 0
    }
}

/// The bits of an address, the first one highest.
fn left_aligned(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()) << (IPV6_BITS - IPV4_BITS),
        IpAddr::V6(address) => address.to_bits(),
    }
}

fn leading_bits(bits: u128, count: u8) -> u128 {
    bits.checked_shr(u32::from(IPV6_BITS - count)).unwrap_or(0)
}

fn bits_behind(bits: u128, count: u8) -> u128 {
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
        let most = if address.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        let prefix_bits: u8 = bits.map_or(Ok(most), str::parse).map_err(|_| malformed())?;
        if prefix_bits > most {
            return Err(NetworkError::TooManyBits { text: text.to_owned(), most });
        }
        if bits_behind(left_aligned(address), prefix_bits) != 0 {
            return Err(NetworkError::BitsBehindPrefix { text: text.to_owned(), prefix_bits });
        }
        Ok(Network { address, prefix_bits })
    }
}
