#ifndef ANVIL_AGENT_MINIONPORT_H
#define ANVIL_AGENT_MINIONPORT_H

#include <functional>
#include <string>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// How one exchange with the minion ended.
struct MinionResult {
  bool m_Whole = false;         ///< The complete response was received.
  bool m_AnyByteSent = true;    ///< False only if it is certain that no byte of
                                ///< the request was written.
  bool m_ConnectFailed = false; ///< No connection could be opened.
  std::string m_Reason;         ///< Why the response is incomplete.
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Sends requests to the minion on the same VM. Never repeats a request.
class MinionPort {
public:
  using Done = std::function<void(MinionResult)>;

  virtual ~MinionPort() = default;
  /// Sends \p Request. \p OnDone is called exactly once, after this function
  /// has returned.
  virtual void send(ExchangeId Exchange, const wire::ExecuteRequest &Request,
                    Done OnDone) = 0;
  /// Closes the connection of an exchange; its result is still reported.
  virtual void abandon(ExchangeId Exchange) = 0;
  /// Calls \p OnDone with true if the minion accepts a connection.
  virtual void probe(std::function<void(bool)> OnDone) = 0;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_MINIONPORT_H
