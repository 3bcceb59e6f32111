#ifndef ANVIL_CTL_CLI_H
#define ANVIL_CTL_CLI_H

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/net/Http.h"

namespace anvil::ctl {

/// Exit codes of anvilctl.
enum class ExitCode {
  Ok = 0,
  Refused = 1,     ///< The call or its input was refused; nothing was changed.
  Usage = 2,       ///< The command line is invalid.
  Unreachable = 3, ///< No entry answered; nothing was changed.
  Unknown = 4, ///< The call may have taken effect; repeating it with the same
               ///< request id is safe.
  Failed = 5   ///< The job that `job wait` waited for did not succeed.
};

/// One call to the HTTP interface of an entry.
struct ApiCall {
  std::string m_Method;
  std::string m_Target;
  std::vector<net::HttpField> m_Fields;
  std::string m_Body;
};

/// How a call ended.
struct ApiResult {
  bool m_Reached = false; ///< A complete response was received.
  bool m_AnyByteSent =
      false; ///< Some byte of the call may have reached an entry.
  int m_Status = 0;
  std::string m_Body;
  std::string m_Error; ///< Why no response was received.
};

/// External dependencies of the commands; tests replace them.
struct CliEnvironment {
  /// Calls \p Entry ("ip:port") or, if it is empty, any configured entry.
  std::function<ApiResult(const std::string &Entry, const ApiCall &)> m_Call;
  std::vector<std::string> m_Entries; ///< All configured entries as "ip:port".
  /// Returns the content of a file, or nothing if it can't be read.
  std::function<std::optional<std::string>(const std::string &Path)> m_ReadFile;
  std::function<std::string()>
      m_NewId; ///< Returns a unique request id for a call that changes state.
  std::function<void(Duration)> m_Sleep;
  /// Asks a question on the terminal and returns whether the answer was yes.
  std::function<bool(const std::string &Question)> m_Confirm;
  std::ostream *m_Out = nullptr;
  std::ostream *m_Err = nullptr;
};

/// Options that all commands share.
struct CliOptions {
  std::string m_Operator;
  bool m_Json = false; ///< `--output json`.
  bool m_Yes = false;  ///< `--yes`: no confirmation.
};

/// Runs one command, such as {"zone", "withdraw", "kochi"}, and prints its
/// result to CliEnvironment::m_Out and errors to m_Err.
ExitCode runCommand(const std::vector<std::string> &Words,
                    const CliOptions &Options,
                    const CliEnvironment &Environment);

/// Returns the help text: all commands with an example each.
std::string cliHelp();

/// Returns a completion script for bash.
std::string bashCompletion();

/// Formats JSON text as an aligned table: a row for each object of an array, or
/// a line for each field of an object. Text that is not JSON is returned
/// unchanged.
std::string renderTable(std::string_view Json);

} // namespace anvil::ctl

#endif // ANVIL_CTL_CLI_H
