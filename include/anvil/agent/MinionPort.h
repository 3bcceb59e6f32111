#ifndef ANVIL_AGENT_MINIONPORT_H
#define ANVIL_AGENT_MINIONPORT_H

#include <functional>
#include <string>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// How one exchange with the minion ended.
struct MinionResult {
  bool m_Whole = false;         ///< The whole response was received.
  bool m_AnyByteSent = true;    ///< False only if it is certain that no byte of
                                ///< the request was written.
  bool m_ConnectFailed = false; ///< No connection could be opened.
  std::string m_Reason;         ///< Why the response is not whole.
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Sends requests to the minion beside this agent. Never repeats a request.
class MinionPort {
public:
  using Done = std::function<void(MinionResult)>;

  virtual ~MinionPort() = default;
  /// Sends \p Request and reports the result once, never inside this call.
  virtual void send(ExchangeId Exchange, const wire::ExecuteRequest &Request,
                    Done OnDone) = 0;
  /// Closes the connection of an exchange; its result is still reported.
  virtual void abandon(ExchangeId Exchange) = 0;
  /// Reports whether the minion accepts a connection.
  virtual void probe(std::function<void(bool)> OnDone) = 0;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_MINIONPORT_H
