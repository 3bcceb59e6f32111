#ifndef ANVIL_CTL_HTTPCALLER_H
#define ANVIL_CTL_HTTPCALLER_H

#include <vector>

#include "anvil/ctl/Cli.h"
#include "anvil/net/Endpoint.h"

namespace anvil::ctl {

/// Calls the first reachable entry; \p Timeout applies to each attempt.
///
/// Tries the next entry only if no byte of the call was sent, so that a call
/// never runs twice.
ApiResult callAny(const std::vector<net::Endpoint> &Entries,
                  const ApiCall &Call, Duration Timeout);

} // namespace anvil::ctl

#endif // ANVIL_CTL_HTTPCALLER_H
