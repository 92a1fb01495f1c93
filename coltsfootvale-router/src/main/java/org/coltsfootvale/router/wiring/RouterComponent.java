package org.coltsfootvale.router.wiring;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.router.lifecycle.RouterServer;

/** The object graph of one router process. */
@Singleton
@Component(
    modules = {
      DecisionModule.class,
      ServingDecisionModule.class,
      PlatformModule.class,
      ControlModule.class,
      LoopModule.class,
      EdgeModule.class
    })
public interface RouterComponent {

  /** Returns the server. */
  RouterServer server();

  /** Creates the graph. */
  @Component.Factory
  interface Factory {

    /** Creates the graph for checked settings. */
    RouterComponent create(@BindsInstance RouterSettings settings);
  }
}
