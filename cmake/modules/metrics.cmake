anvil_module(metrics LINK anvil_base absl::strings)
anvil_test(metrics LINK anvil_metrics)
