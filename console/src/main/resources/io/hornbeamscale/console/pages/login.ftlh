<#import "layout.ftlh" as l>
<@l.page hasError=(problem?has_content)>
  <#if problem?has_content>
  <div class="summary" role="alert" tabindex="-1">
    <#switch problem>
      <#case "expired"><h2>Your session has ended</h2><p>Nothing was published. What you typed is kept and shown again after you sign in.</p><#break>
      <#case "throttled"><h2>Too many attempts</h2><p>Wait five minutes and try again.</p><#break>
      <#default><h2>Not signed in</h2><p><a href="#operator">Name or password is wrong.</a></p>
    </#switch>
  </div>
  </#if>
  <form method="post" action="/console/login" class="narrow">
    <input type="hidden" name="next" value="${next}">
    <@l.hidden fields=kept/>
    <div class="field">
      <label for="operator">Operator name</label>
      <input id="operator" name="operator" type="text" autocomplete="username" required value="${name}"<#if problem == "wrong"> aria-invalid="true"</#if>>
    </div>
    <div class="field">
      <label for="password">Password</label>
      <input id="password" name="password" type="password" autocomplete="current-password" required<#if problem == "wrong"> aria-invalid="true"</#if>>
    </div>
    <button>Sign in</button>
  </form>
</@l.page>
