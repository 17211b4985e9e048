<#import "layout.ftlh" as l>
<@l.page>
  <p>Your input was kept. Nothing was published yet.</p>
  <form method="post" action="${action}">
    <@l.token/>
    <@l.hidden fields=kept/>
    <button>Continue with your input</button>
  </form>
</@l.page>
