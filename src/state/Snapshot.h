#ifndef ANVIL_STATE_SNAPSHOT_H
#define ANVIL_STATE_SNAPSHOT_H

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "StateData.h"

namespace anvil::state::internal {

/// Returns the state as bytes: magic, format version, checksum, header record,
/// then the records of each kind in key order.
std::string writeSnapshot(const StateData &Data);

/// Reads the bytes of writeSnapshot() and rebuilds all that is derived from the
/// records. Fails with FailedPrecondition for an unknown format version and
/// with DataLoss for damaged bytes.
absl::StatusOr<std::unique_ptr<StateData>> readSnapshot(std::string_view Bytes,
                                                        Charts BoundCharts);

} // namespace anvil::state::internal

#endif // ANVIL_STATE_SNAPSHOT_H
