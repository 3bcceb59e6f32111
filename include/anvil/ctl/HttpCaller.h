#ifndef ANVIL_CTL_HTTPCALLER_H
#define ANVIL_CTL_HTTPCALLER_H

#include <vector>

#include "anvil/ctl/Cli.h"
#include "anvil/net/Endpoint.h"

namespace anvil::ctl {

/// Calls the first entry that can be reached, within \p Timeout for each.
///
/// Goes on to the next entry only if no byte of the call was sent.
ApiResult callAny(const std::vector<net::Endpoint> &Entries,
                  const ApiCall &Call, Duration Timeout);

} // namespace anvil::ctl

#endif // ANVIL_CTL_HTTPCALLER_H
