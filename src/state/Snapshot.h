#ifndef ANVIL_STATE_SNAPSHOT_H
#define ANVIL_STATE_SNAPSHOT_H

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "StateData.h"

namespace anvil::state::internal {

/// Writes all records: magic, format version, checksum, header record, then the
/// records of each kind in key order.
std::string writeSnapshot(const StateData &Data);

/// Reads what writeSnapshot() wrote and rebuilds everything that is derived
/// from the records.
absl::StatusOr<std::unique_ptr<StateData>> readSnapshot(std::string_view Bytes,
                                                        Charts Bound);

} // namespace anvil::state::internal

#endif // ANVIL_STATE_SNAPSHOT_H
