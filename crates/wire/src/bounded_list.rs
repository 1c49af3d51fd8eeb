//! Lists in the bodies of callers, of which a small body could hold very many items.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Largest number of items in a list of a caller: far above what any service allows.
pub const MAX_LIST_ITEMS: usize = 4_096;

/// Decodes a list.
///
/// # Errors
///
/// Fails at the first item beyond [`MAX_LIST_ITEMS`], without decoding the rest.
pub fn bounded_list<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor(PhantomData))
}

struct ListVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of up to {MAX_LIST_ITEMS} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            if items.len() == MAX_LIST_ITEMS {
                return Err(A::Error::invalid_length(items.len() + 1, &self));
            }
            items.push(item);
        }
        Ok(items)
    }
}
