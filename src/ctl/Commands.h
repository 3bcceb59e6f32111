#ifndef ANVIL_SRC_CTL_COMMANDS_H
#define ANVIL_SRC_CTL_COMMANDS_H

#include <map>
#include <string>
#include <vector>

#include "anvil/ctl/Cli.h"

namespace anvil::ctl::internal {

/// The parsed command line of one call.
struct Invocation {
  const CliOptions &m_Options;
  const CliEnvironment &m_Environment;
  std::vector<std::string> m_Args; ///< Arguments after the command words.
  std::map<std::string, std::string> m_Flags;

  std::string flag(const std::string &Name,
                   const std::string &Default = "") const {
    const auto It = m_Flags.find(Name);
    return It == m_Flags.end() ? Default : It->second;
  }
};

/// Syntax, help and implementation of one command. m_Run is called after the
/// command line was checked.
struct CommandSpec {
  std::vector<std::string> m_Words;
  std::vector<std::string> m_Arguments; ///< Required, in order.
  std::vector<std::string> m_Flags;     ///< Optional `--NAME VALUE`.
  std::string m_Help;
  std::string m_Example;
  ExitCode (*m_Run)(const Invocation &);
};

/// Returns all commands in the order of the help text.
const std::vector<CommandSpec> &commands();

} // namespace anvil::ctl::internal

#endif // ANVIL_SRC_CTL_COMMANDS_H
